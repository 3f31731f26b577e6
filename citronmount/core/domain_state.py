"""Holds the state of one failure domain's scheduler.

Methods keep its parts consistent; callers decide which jobs to place or evict.
"""

import collections
from collections.abc import Iterable
import functools

from citronmount.config import configuration as configuration_lib
from citronmount.core import cells
from citronmount.core import estimates
from citronmount.core import fragmentation
from citronmount.core import guarantee_cell
from citronmount.core import guarantee_feasibility
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import ledger
from citronmount.core import placement
from citronmount.core import policies
from citronmount.core import pool
from citronmount.core import quarantine
from citronmount.core import ranking
from citronmount.core import resources
from citronmount.core import shapes
from citronmount.core import shares
from citronmount.core import states

__all__ = ["DomainState", "PendingPlacement", "PlacedJob"]


class PlacedJob:
    """An attempt to which resources of workers are allocated.

    Attributes:
        entry: The job.
        groups: Its tasks on each worker.
        since_ms: Monotonic time of the start or, until then, of the placement.
        evicting: Whether its eviction was requested.
        preemptible: Whether paying work outside guarantees may preempt it.
    """

    __slots__ = ("entry", "evicting", "groups", "preemptible", "since_ms")

    def __init__(
        self,
        *,
        entry: job_queue.JobEntry,
        groups: tuple[jobs.TaskGroup, ...],
        since_ms: int,
    ) -> None:
        """Initializes an attempt that was just placed."""
        self.entry = entry
        self.groups = groups
        self.since_ms = since_ms
        self.evicting = False
        self.preemptible = False


class PendingPlacement:
    """A job that is placed once the jobs evicted for it have ended.

    Attributes:
        entry: The job.
        groups: Its tasks on each worker; their resources are allocated.
        victims: Evicted jobs that have not ended yet.
    """

    __slots__ = ("entry", "groups", "victims")

    def __init__(
        self,
        *,
        entry: job_queue.JobEntry,
        groups: tuple[jobs.TaskGroup, ...],
        victims: set[ids.JobId],
    ) -> None:
        """Initializes a pending placement."""
        self.entry = entry
        self.groups = groups
        self.victims = victims


class DomainState:
    """State of one failure domain's scheduler.

    Attributes:
        policy: The scheduling policy.
        pool: The workers and their free capacity.
        plan: The cells of the guarantees.
        queue: Queued jobs.
        placed: Placed jobs, by id.
        pending_placements: Jobs that wait for evictions, in order of decision.
        ledger: Service that each account has received.
        estimator: Estimator of run times.
        quarantine: Quarantine of workers that fail jobs.
        mix: Typical gangs of the workload.
        in_service: Whether tasks may start.
        accounts_to_bind: Accounts whose placed jobs may now fit into cells.
        cells_planned: Whether the cell plan is up to date.
        wake_up_times_ms: Heap of monotonic times at which to decide again.
    """

    def __init__(self, *, policy: str) -> None:
        """Initializes a state without workers and accounts."""
        self.policy = policies.get(policy)
        self.pool = pool.Pool()
        self.plan = cells.CellPlan()
        self.queue = job_queue.JobQueue()
        self.placed: dict[ids.JobId, PlacedJob] = {}
        self.pending_placements: dict[ids.JobId, PendingPlacement] = {}
        self.ledger = ledger.Ledger()
        self.estimator = estimates.Estimator()
        self.quarantine = quarantine.Quarantine()
        self.mix = fragmentation.GangMix()
        self.in_service = False
        self.accounts_to_bind: set[ids.AccountId] = set()
        self.cells_planned = False
        self.wake_up_times_ms: list[int] = []
        self._timelines: dict[
            ids.WorkerId, tuple[int, list[tuple[int, jobs.Resources]]]
        ] = {}
        self._account_classes: dict[ids.AccountId, states.AccountClass] = {}
        self._allowances: dict[ids.AccountId, int] = {}
        self._trial_accelerators: collections.Counter[ids.AccountId] = (
            collections.Counter()
        )

    def account_class(
        self, account: ids.AccountId
    ) -> states.AccountClass | None:
        """Returns the class of an account, None if it is not known."""
        return self._account_classes.get(account)

    def is_trial(self, account: ids.AccountId) -> bool:
        """Returns whether an account is a trial account or unknown."""
        return (
            self._account_classes.get(account) is not states.AccountClass.PAYING
        )

    def allowance(self, account: ids.AccountId) -> int:
        """Returns how many accelerators a trial account may use here."""
        return self._allowances.get(account, 0)

    def within_allowance(self, entry: job_queue.JobEntry) -> bool:
        """Returns whether a job fits its trial account's allowance now.

        The allowance is this failure domain's share. Pending placements count
        as used. Callers must check `is_trial` first.
        """
        account = entry.spec.account
        used = self._trial_accelerators[account] + entry.shape.accelerators
        return used <= self.allowance(account)

    def revocable(self, job: ids.JobId) -> bool:
        """Returns whether a job is placed and may be evicted for another.

        Jobs are revocable only outside cells and if the policy has guarantees.
        """
        return (
            self.policy.guarantees
            and job in self.placed
            and not self.placed[job].evicting
            and not self.plan.runs_in_cells(job)
        )

    def configure(
        self,
        configuration: configuration_lib.Configuration,
        failure_domain: ids.FailureDomainId,
        now_ms: int,
    ) -> None:
        """Applies a configuration.

        Args:
            configuration: The version in force.
            failure_domain: The failure domain of this state.
            now_ms: Monotonic time.
        """
        self.in_service = any(
            domain.name == failure_domain
            and domain.state is states.FailureDomainState.IN
            for domain in configuration.failure_domains
        )
        self._account_classes = {
            account.name: account.account_class
            for account in configuration.accounts
        }
        share = shares.share_of(configuration, failure_domain)
        self._allowances = share.allowances
        self._update_weights(configuration, share, now_ms)
        if self.policy.guarantees:
            self._update_cells(share, now_ms)

    def plan_cells(self) -> None:
        """Finds slots for unplanned cells, if anything has changed."""
        if not self.cells_planned:
            self.plan.plan_cells()
            self.cells_planned = True

    def refresh_worker(self, worker: ids.WorkerId, now_ms: int) -> None:
        """Updates cells and pending placements after a change to a worker.

        Args:
            worker: A worker whose state or capacity may have changed.
            now_ms: Monotonic time.
        """
        self.pool.set_closed(worker, not self.quarantine.accepts_jobs(worker))
        self.cells_planned = False
        if self.pool.usable(worker):
            self.plan.slots.set_worker(
                worker, self.pool.rack(worker), self.pool.capacity(worker)
            )
            self.accounts_to_bind.update(self._account_classes)
            return
        self.plan.slots.drop_worker(worker)
        for job in list(self.pool.jobs_on(worker)):
            if job in self.pending_placements:
                self.cancel_pending(job, now_ms)

    def place(
        self,
        entry: job_queue.JobEntry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
        uses: tuple[guarantee_cell.CellUse, ...] = (),
    ) -> None:
        """Places a queued job, in cells if `uses` is not empty."""
        job = entry.spec.job
        self.queue.remove(job)
        placed = PlacedJob(entry=entry, groups=groups, since_ms=now_ms)
        self.placed[job] = placed
        self._allocate(entry, groups, now_ms, uses)
        self._mark_preemptible(placed)
        self._record_probes(job, groups, now_ms)

    def add_pending(
        self,
        entry: job_queue.JobEntry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
        uses: tuple[guarantee_cell.CellUse, ...],
        victims: set[ids.JobId],
    ) -> None:
        """Allocates resources to a queued job that waits for its victims."""
        job = entry.spec.job
        self.queue.remove(job)
        self.pending_placements[job] = PendingPlacement(
            entry=entry, groups=groups, victims=victims
        )
        self._allocate(entry, groups, now_ms, uses)

    def cancel_pending(
        self, job: ids.JobId, now_ms: int, *, requeue: bool = True
    ) -> None:
        """Cancels a pending placement and frees its resources."""
        pending = self.pending_placements.pop(job)
        self._deallocate(pending.entry, pending.groups, now_ms)
        if requeue:
            self.enqueue(pending.entry, now_ms)

    def place_pending(self, job: ids.JobId, now_ms: int) -> PlacedJob:
        """Places a pending job whose victims have ended."""
        pending = self.pending_placements.pop(job)
        placed = PlacedJob(
            entry=pending.entry, groups=pending.groups, since_ms=now_ms
        )
        self.placed[job] = placed
        self._mark_preemptible(placed)
        self._record_probes(job, pending.groups, now_ms)
        return placed

    def remove(self, job: ids.JobId, now_ms: int) -> PlacedJob | None:
        """Removes a placed job and frees its resources."""
        placed = self.placed.pop(job, None)
        if placed is None:
            return None
        self._unmark_preemptible(placed)
        self._deallocate(placed.entry, placed.groups, now_ms)
        for pending in self.pending_placements.values():
            pending.victims.discard(job)
        return placed

    def mark_evicting(self, job: ids.JobId) -> None:
        """Records that the eviction of a placed job was requested."""
        placed = self.placed[job]
        placed.evicting = True
        self._unmark_preemptible(placed)

    def cancel_pending_outside_cells(
        self, workers: Iterable[ids.WorkerId], now_ms: int
    ) -> None:
        """Cancels the pending placements outside cells on some workers."""
        for worker in workers:
            for job in list(self.pool.jobs_on(worker)):
                if (
                    job in self.pending_placements
                    and not self.plan.runs_in_cells(job)
                ):
                    self.cancel_pending(job, now_ms)

    def enqueue(
        self,
        entry: job_queue.JobEntry,
        now_ms: int,
        promote_at_ms: int | None = None,
    ) -> None:
        """Adds an entry to the queue.

        Args:
            entry: Entry of the job.
            now_ms: Monotonic time.
            promote_at_ms: Unix time; see `JobQueue.add`.
        """
        account = entry.spec.account
        entry.queued_ms = now_ms
        entry.delay_until_ms = None
        if not self.queue.size(account):
            self.ledger.resume(account, self.queue.accounts(), now_ms)
        self.queue.add(entry, promote_at_ms=promote_at_ms)

    def expected_end_ms(self, placed: PlacedJob, now_ms: int) -> int:
        """Returns the monotonic time at which a job is expected to end."""
        remaining_ms = self.estimator.remaining_ms(
            placed.entry.spec,
            placed.entry.progress,
            max(now_ms - placed.since_ms, 0),
        )
        return now_ms + remaining_ms

    def worker_key(
        self, entry: job_queue.JobEntry, now_ms: int
    ) -> placement.WorkerKey:
        """Returns the sort key of workers for a job."""
        worker_ranking = ranking.FragmentationRanking(
            mix=self.mix,
            timeline=functools.partial(self._timeline, now_ms),
            now_ms=now_ms,
            run_ms=self.estimator.expected_run_ms(entry.spec, entry.progress),
        )
        return self.policy.key(worker_ranking)

    def busy_until_ms(self, worker: ids.WorkerId, now_ms: int) -> int:
        """Returns the latest expected end of the jobs placed on a worker.

        Args:
            worker: The worker.
            now_ms: Monotonic time; returned if no job is placed there.
        """
        ends = self._timeline(now_ms, worker)
        return ends[-1][0] if ends else now_ms

    def available_at(
        self, worker: ids.WorkerId, now_ms: int, later_ms: int
    ) -> jobs.Resources:
        """Returns the capacity of a worker that will be free later.

        Args:
            worker: The worker.
            now_ms: Monotonic time.
            later_ms: Jobs expected to end before this time count as ended.
        """
        available = self.pool.free.available(worker)
        for end_ms, freed in self._timeline(now_ms, worker):
            if end_ms < later_ms:
                available = resources.plus(available, freed)
        return available

    def _timeline(
        self, now_ms: int, worker: ids.WorkerId
    ) -> list[tuple[int, jobs.Resources]]:
        """Returns expected end times and the resources freed then, sorted."""
        as_of_ms, ends = self._timelines.get(worker, (-1, []))
        if as_of_ms == now_ms:
            return ends
        ends = [
            (
                self.expected_end_ms(self.placed[job], now_ms),
                resources.scaled(self.placed[job].entry.spec.per_task, tasks),
            )
            for job, tasks in self.pool.jobs_on(worker).items()
            if job in self.placed
        ]
        ends.sort(key=lambda end: end[0])
        self._timelines[worker] = (now_ms, ends)
        return ends

    def _invalidate_timelines(self, groups: tuple[jobs.TaskGroup, ...]) -> None:
        for group in groups:
            self._timelines.pop(group.worker, None)

    def _allocate(
        self,
        entry: job_queue.JobEntry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
        uses: tuple[guarantee_cell.CellUse, ...],
    ) -> None:
        spec = entry.spec
        entry.placed_before = True
        self._invalidate_timelines(groups)
        self.pool.allocate(spec.job, spec.per_task, groups)
        self.ledger.add_held(spec.account, entry.shape.accelerators, now_ms)
        if self.is_trial(spec.account):
            self._trial_accelerators[spec.account] += entry.shape.accelerators
            entry.counts_against_allowance = True
        if uses:
            self.plan.bind(spec.job, uses)

    def _deallocate(
        self,
        entry: job_queue.JobEntry,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
    ) -> None:
        spec = entry.spec
        self._invalidate_timelines(groups)
        self.pool.deallocate(spec.job, spec.per_task, groups)
        self.ledger.add_held(spec.account, -entry.shape.accelerators, now_ms)
        if entry.counts_against_allowance:
            self._trial_accelerators[spec.account] -= entry.shape.accelerators
            entry.counts_against_allowance = False
        if self.plan.runs_in_cells(spec.job):
            self.plan.unbind(spec.job)
            self.accounts_to_bind.add(spec.account)
            self.cells_planned = (
                self.cells_planned and not self.plan.unplanned()
            )

    def _mark_preemptible(self, placed: PlacedJob) -> None:
        spec = placed.entry.spec
        placed.preemptible = (
            self.policy.guarantees
            and spec.idempotent
            and self.is_trial(spec.account)
        )
        if placed.preemptible:
            self.pool.add_preemptible(spec.per_task, placed.groups)

    def _unmark_preemptible(self, placed: PlacedJob) -> None:
        if placed.preemptible:
            placed.preemptible = False
            released = resources.scaled(placed.entry.spec.per_task, -1)
            self.pool.add_preemptible(released, placed.groups)

    def _record_probes(
        self,
        job: ids.JobId,
        groups: tuple[jobs.TaskGroup, ...],
        now_ms: int,
    ) -> None:
        for group in groups:
            if self.quarantine.record_placement(job, group.worker):
                self.refresh_worker(group.worker, now_ms)

    def _update_weights(
        self,
        configuration: configuration_lib.Configuration,
        share: shares.DomainShare,
        now_ms: int,
    ) -> None:
        weights: collections.Counter[ids.AccountId] = collections.Counter()
        for row in configuration.guarantees:
            accelerators = row.tasks * row.per_task.accelerators
            weights[row.account] += row.copies * accelerators
        guaranteed_here: collections.Counter[ids.AccountId] = (
            collections.Counter()
        )
        for part in share.guarantees:
            guaranteed_here[part.account] += (
                part.copies * part.shape.accelerators
            )
        for account in self._account_classes:
            self.ledger.set_entitlement(
                account,
                weight=weights[account],
                guaranteed=guaranteed_here[account],
                now_ms=now_ms,
            )

    def _update_cells(self, share: shares.DomainShare, now_ms: int) -> None:
        required = {
            (account, shape): copies
            for (
                account,
                shape,
            ), copies in guarantee_feasibility.required_cells(share).items()
            if not self.is_trial(account)
        }
        guaranteed_copies: collections.Counter[shapes.Shape] = (
            collections.Counter()
        )
        for (_, shape), copies in required.items():
            guaranteed_copies[shape] += copies
        self.mix.set_guaranteed(guaranteed_copies)
        for job in self.plan.set_required(required):
            if job in self.pending_placements:
                self.cancel_pending(job, now_ms)
        self.cells_planned = False
        self.accounts_to_bind.update(self._account_classes)
