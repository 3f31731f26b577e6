"""The state of one failure domain's scheduler and its elementary changes."""

import collections
from collections.abc import Iterable
import functools

from citronmount.config import configuration as configuration_lib
from citronmount.core import cells
from citronmount.core import estimates
from citronmount.core import fragmentation
from citronmount.core import guarantee_feasibility
from citronmount.core import health
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import ledger
from citronmount.core import placement
from citronmount.core import policy as policy_lib
from citronmount.core import pool
from citronmount.core import queueing
from citronmount.core import ranking
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import shares
from citronmount.core import states

__all__ = ["DomainState", "PendingPlacement", "PlacedJob"]


class PlacedJob:
    """An attempt that holds room.

    Attributes:
        entry: The job.
        groups: Where it runs.
        since_ms: When it was placed or started.
        evicting: Whether it was told to stop.
        lent: Whether its room may be taken back for paying work outside
            guarantees.
    """

    __slots__ = ("entry", "evicting", "groups", "lent", "since_ms")

    def __init__(
        self,
        *,
        entry: queueing.Entry,
        groups: tuple[jobs.TaskGroup, ...],
        since_ms: int,
    ) -> None:
        """Initializes an attempt that may run."""
        self.entry = entry
        self.groups = groups
        self.since_ms = since_ms
        self.evicting = False
        self.lent = False


class PendingPlacement:
    """A guaranteed job that waits for evictions to end.

    Attributes:
        entry: The job.
        groups: Where it will run; the room is set aside.
        victims: Jobs that still have to end.
    """

    __slots__ = ("entry", "groups", "victims")

    def __init__(
        self,
        *,
        entry: queueing.Entry,
        groups: tuple[jobs.TaskGroup, ...],
        victims: set[ids.JobId],
    ) -> None:
        """Initializes a claim."""
        self.entry = entry
        self.groups = groups
        self.victims = victims


class DomainState:
    """All that is known of a failure domain, without decisions.

    Attributes:
        policy: What decisions consult.
        pool: The workers.
        plan: The cells of the guarantees.
        queue: Jobs that wait.
        placed: Jobs that hold room.
        claims: Jobs that wait for evictions, in order.
        ledger: Served shares.
        estimator: Expected run times.
        health: Workers in quarantine.
        mix: Typical gangs.
        in_service: Whether tasks may start.
        unsettled: Accounts whose placed jobs may now run in cells.
        wake_ups: Times at which to look again, a heap.
    """

    def __init__(self, *, policy: str) -> None:
        """Initializes a failure domain without workers and accounts."""
        self.policy = policy_lib.get(policy)
        self.pool = pool.Pool()
        self.plan = cells.CellPlan()
        self.queue = queueing.JobQueue()
        self.placed: dict[ids.JobId, PlacedJob] = {}
        self.pending_placements: dict[ids.JobId, PendingPlacement] = {}
        self.ledger = ledger.Ledger()
        self.estimator = estimates.Estimator()
        self.health = health.Health()
        self.mix = fragmentation.Mix()
        self.in_service = False
        self.unsettled: set[ids.AccountId] = set()
        self.secured = False
        self.wake_up_times_ms: list[int] = []
        self._timelines: dict[
            ids.WorkerId, tuple[int, list[tuple[int, jobs.Resources]]]
        ] = {}
        self._classes: dict[ids.AccountId, states.AccountClass] = {}
        self._allowances: dict[ids.AccountId, int] = {}
        self._trial_use: collections.Counter[ids.AccountId] = (
            collections.Counter()
        )

    def account_class(
        self, account: ids.AccountId
    ) -> states.AccountClass | None:
        """Returns the class of an account, None if it is not known."""
        return self._classes.get(account)

    def is_trial(self, account: ids.AccountId) -> bool:
        """Returns whether an account does not pay."""
        return self._classes.get(account) is not states.AccountClass.PAYING

    def allowance(self, account: ids.AccountId) -> int:
        """Returns the accelerators that a trial account may use here."""
        return self._allowances.get(account, 0)

    def allows(self, entry: queueing.Entry) -> bool:
        """Returns whether an allowance leaves room for a trial job."""
        account = entry.spec.account
        used = self._trial_use[account] + entry.shape.accelerators
        return used <= self.allowance(account)

    def revocable(self, job: ids.JobId) -> bool:
        """Returns whether a placed job may be told to stop for another."""
        return (
            self.policy.guarantees
            and job in self.placed
            and not self.placed[job].evicting
            and not self.plan.holds(job)
        )

    def configure(
        self,
        configuration: configuration_lib.Configuration,
        failure_domain: ids.FailureDomainId,
        now_ms: int,
    ) -> None:
        """Takes over a configuration.

        Args:
            configuration: The version in force.
            failure_domain: The failure domain that this one is.
            now_ms: Monotonic time.
        """
        self.in_service = any(
            domain.name == failure_domain
            and domain.state is states.FailureDomainState.IN
            for domain in configuration.failure_domains
        )
        self._classes = {
            a.name: a.account_class for a in configuration.accounts
        }
        share = shares.share(configuration, failure_domain)
        self._allowances = share.allowances
        self._weigh(configuration, share, now_ms)
        if self.policy.guarantees:
            self._require(share, now_ms)

    def secure(self) -> None:
        """Finds room for cells that have none."""
        if not self.secured:
            self.plan.secure()
            self.secured = True

    def refresh_worker(self, worker: ids.WorkerId, now_ms: int) -> None:
        """Brings plan and claims up to date with a worker of the pool.

        Args:
            worker: A worker whose state or capacity may have changed.
            now_ms: Monotonic time.
        """
        self.pool.set_closed(worker, not self.health.is_open(worker))
        self.secured = False
        if self.pool.usable(worker):
            self.plan.set_worker(
                worker, self.pool.rack(worker), self.pool.capacity(worker)
            )
            self.unsettled.update(self._classes)
            return
        self.plan.drop_worker(worker)
        for job in list(self.pool.jobs_on(worker)):
            if job in self.pending_placements:
                self.release_claim(job, now_ms)

    def place(
        self,
        entry: queueing.Entry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
        uses: tuple[cells.Use, ...] = (),
    ) -> None:
        """Gives room to a queued job, in cells or outside them."""
        job = entry.spec.job
        self.queue.remove(job)
        placed = PlacedJob(entry=entry, groups=groups, since_ms=now_ms)
        self.placed[job] = placed
        self._take(entry, groups, now_ms, uses)
        self._lend(placed)
        self._note_probes(job, groups, now_ms)

    def claim(
        self,
        entry: queueing.Entry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
        uses: tuple[cells.Use, ...],
        victims: set[ids.JobId],
    ) -> None:
        """Sets room aside for a queued job until its victims have ended."""
        job = entry.spec.job
        self.queue.remove(job)
        self.pending_placements[job] = PendingPlacement(
            entry=entry, groups=groups, victims=victims
        )
        self._take(entry, groups, now_ms, uses)

    def release_claim(
        self, job: ids.JobId, now_ms: int, *, requeue: bool = True
    ) -> None:
        """Gives back the room of a claim."""
        claim = self.pending_placements.pop(job)
        self._give_back(claim.entry, claim.groups, now_ms)
        if requeue:
            self.enqueue(claim.entry, now_ms)

    def redeem(self, job: ids.JobId, now_ms: int) -> PlacedJob:
        """Turns a claim whose victims have ended into a placed job."""
        claim = self.pending_placements.pop(job)
        placed = PlacedJob(
            entry=claim.entry, groups=claim.groups, since_ms=now_ms
        )
        self.placed[job] = placed
        self._lend(placed)
        self._note_probes(job, claim.groups, now_ms)
        return placed

    def remove(self, job: ids.JobId, now_ms: int) -> PlacedJob | None:
        """Gives back the room of a placed job."""
        placed = self.placed.pop(job, None)
        if placed is None:
            return None
        self._end_loan(placed)
        self._give_back(placed.entry, placed.groups, now_ms)
        for claim in self.pending_placements.values():
            claim.victims.discard(job)
        return placed

    def evict(self, job: ids.JobId) -> None:
        """Notes that a placed job was told to stop."""
        placed = self.placed[job]
        placed.evicting = True
        self._end_loan(placed)

    def release_outside_claims(
        self, workers: Iterable[ids.WorkerId], now_ms: int
    ) -> None:
        """Gives back what claims outside guarantees hold of some workers."""
        for worker in workers:
            for job in list(self.pool.jobs_on(worker)):
                if job in self.pending_placements and not self.plan.holds(job):
                    self.release_claim(job, now_ms)

    def enqueue(
        self,
        entry: queueing.Entry,
        now_ms: int,
        press_at_ms: int | None = None,
    ) -> None:
        """Queues an entry."""
        account = entry.spec.account
        entry.queued_ms = now_ms
        entry.patient_until_ms = None
        if not self.queue.size(account):
            self.ledger.wake(account, self.queue.accounts(), now_ms)
        self.queue.add(entry, press_at_ms=press_at_ms)

    def end_of(self, placed: PlacedJob, now_ms: int) -> int:
        """Returns when a placed job is expected to end."""
        left_ms = self.estimator.left_ms(
            placed.entry.spec,
            placed.entry.progress,
            max(now_ms - placed.since_ms, 0),
        )
        return now_ms + left_ms

    def key(self, entry: queueing.Entry, now_ms: int) -> placement.Key:
        """Returns the ranking of workers for a job.

        Args:
            entry: The job.
            now_ms: Monotonic time.
        """
        ranked = ranking.Ranking(
            mix=self.mix,
            timeline=functools.partial(self._timeline, now_ms),
            now_ms=now_ms,
            run_ms=self.estimator.run_ms(entry.spec, entry.progress),
        )
        return self.policy.key(ranked)

    def busy_until(self, worker: ids.WorkerId, now_ms: int) -> int:
        """Returns when the last job of a worker is expected to end.

        Args:
            worker: The worker.
            now_ms: Monotonic time, returned if no job runs there.
        """
        ends = self._timeline(now_ms, worker)
        return ends[-1][0] if ends else now_ms

    def room_at(
        self, worker: ids.WorkerId, now_ms: int, later_ms: int
    ) -> jobs.Resources:
        """Returns the room of a worker once some of its jobs have ended.

        Args:
            worker: The worker.
            now_ms: Monotonic time.
            later_ms: Jobs expected to end before this time count as ended.
        """
        room = self.pool.free.room(worker)
        for end_ms, freed in self._timeline(now_ms, worker):
            if end_ms < later_ms:
                room = resources.plus(room, freed)
        return room

    def _timeline(
        self, now_ms: int, worker: ids.WorkerId
    ) -> list[tuple[int, jobs.Resources]]:
        """Returns when jobs on a worker will end and what they then free."""
        as_of_ms, ends = self._timelines.get(worker, (-1, []))
        if as_of_ms == now_ms:
            return ends
        ends = [
            (
                self.end_of(self.placed[job], now_ms),
                resources.scaled(self.placed[job].entry.spec.per_task, tasks),
            )
            for job, tasks in self.pool.jobs_on(worker).items()
            if job in self.placed
        ]
        ends.sort(key=lambda end: end[0])
        self._timelines[worker] = (now_ms, ends)
        return ends

    def _forget_timelines(self, groups: tuple[jobs.TaskGroup, ...]) -> None:
        for group in groups:
            self._timelines.pop(group.worker, None)

    def _take(
        self,
        entry: queueing.Entry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
        uses: tuple[cells.Use, ...],
    ) -> None:
        spec = entry.spec
        entry.tried = True
        self._forget_timelines(groups)
        self.pool.take(spec.job, spec.per_task, groups)
        self.ledger.change(spec.account, entry.shape.accelerators, now_ms)
        if self.is_trial(spec.account):
            self._trial_use[spec.account] += entry.shape.accelerators
            entry.counted_as_trial = True
        if uses:
            self.plan.bind(spec.job, uses)

    def _give_back(
        self,
        entry: queueing.Entry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
    ) -> None:
        spec = entry.spec
        self._forget_timelines(groups)
        self.pool.give_back(spec.job, spec.per_task, groups)
        self.ledger.change(spec.account, -entry.shape.accelerators, now_ms)
        if entry.counted_as_trial:
            self._trial_use[spec.account] -= entry.shape.accelerators
            entry.counted_as_trial = False
        if self.plan.holds(spec.job):
            self.plan.release(spec.job)
            self.unsettled.add(spec.account)
            self.secured = self.secured and not self.plan.unplanned()

    def _lend(self, placed: PlacedJob) -> None:
        spec = placed.entry.spec
        placed.lent = (
            self.policy.guarantees
            and spec.idempotent
            and self.is_trial(spec.account)
        )
        if placed.lent:
            self.pool.lend(spec.per_task, placed.groups)

    def _end_loan(self, placed: PlacedJob) -> None:
        if placed.lent:
            placed.lent = False
            back = resources.scaled(placed.entry.spec.per_task, -1)
            self.pool.lend(back, placed.groups)

    def _note_probes(
        self,
        job: ids.JobId,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
    ) -> None:
        for group in groups:
            if self.health.placed(job, group.worker):
                self.refresh_worker(group.worker, now_ms)

    def _weigh(
        self,
        configuration: configuration_lib.Configuration,
        share: shares.Share,
        now_ms: int,
    ) -> None:
        weights: collections.Counter[ids.AccountId] = collections.Counter()
        for row in configuration.guarantees:
            accelerators = row.tasks * row.per_task.accelerators
            weights[row.account] += row.copies * accelerators
        here: collections.Counter[ids.AccountId] = collections.Counter()
        for part in share.guarantees:
            here[part.account] += part.copies * part.shape.accelerators
        for account in self._classes:
            self.ledger.set_due(
                account,
                weight=weights[account],
                guaranteed=here[account],
                now_ms=now_ms,
            )

    def _require(self, share: shares.Share, now_ms: int) -> None:
        wanted = {
            (account, shape): copies
            for (
                account,
                shape,
            ), copies in guarantee_feasibility.required_cells(share).items()
            if not self.is_trial(account)
        }
        promised: collections.Counter[shapes.Shape] = collections.Counter()
        for (_, shape), copies in wanted.items():
            promised[shape] += copies
        self.mix.promise(promised)
        for job in self.plan.require(wanted):
            if job in self.pending_placements:
                self.release_claim(job, now_ms)
        self.secured = False
        self.unsettled.update(self._classes)
