"""Replays traced jobs on the decision core by a heap of virtual events.

One `DomainScheduler` decides for each failure domain; the replay does what a
scheduler's surroundings do: routes jobs, carries out decisions and reports
starts and ends. Nothing is lost or late here; the fault matrix does that.
"""

import collections
import heapq
import itertools

import msgspec

from citronmount.agent import homes
from citronmount.bench import accounting
from citronmount.bench import pool_usage
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import scheduler as scheduler_lib
from citronmount.core import shares
from citronmount.core import states

__all__ = [
    "BreakWorker",
    "Change",
    "Configure",
    "HealWorker",
    "JobTrace",
    "PowerDown",
    "Replay",
]

START_DELAY_MS = 120
RESUBMIT_MS = 30_000
TICK_MS = 15_000
PERIODIC_CHECKPOINT_S = 600.0
MAX_ATTEMPTS = 60
MOVE_PERIOD_MS = 10_000
MOVES_PER_PERIOD = 50
PATIENCE_MS = 1_000
RETRY_MOVE_MS = 10_000
COMPARED_ACCOUNTS = 16


class Configure(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration comes into force at every scheduler.

    Attributes:
        configuration: The new version.
    """

    configuration: configuration_lib.Configuration


class PowerDown(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs that still run in a failure domain save their work and stop.

    Attributes:
        domain: The failure domain.
    """

    domain: ids.FailureDomainId


class BreakWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker fails everything it starts from now on.

    Attributes:
        worker: The worker.
    """

    worker: ids.WorkerId


class HealWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker starts tasks properly again.

    Attributes:
        worker: The worker.
    """

    worker: ids.WorkerId


Change = Configure | PowerDown | BreakWorker | HealWorker


class _Arrive(msgspec.Struct, frozen=True, kw_only=True):
    number: int


class _Cancel(msgspec.Struct, frozen=True, kw_only=True):
    number: int


class _Run(msgspec.Struct, frozen=True, kw_only=True):
    number: int
    attempt: int


class _Finish(msgspec.Struct, frozen=True, kw_only=True):
    number: int
    attempt: int


class _Evicted(msgspec.Struct, frozen=True, kw_only=True):
    number: int
    attempt: int
    progress: float


class _Tick(msgspec.Struct, frozen=True, kw_only=True):
    domain: ids.FailureDomainId


class _MoveWaiting(msgspec.Struct, frozen=True, kw_only=True):
    pass


class _Sample(msgspec.Struct, frozen=True, kw_only=True):
    pass


class JobTrace(msgspec.Struct, kw_only=True):
    """What became of one job.

    Attributes:
        job: The job.
        spec: What it was submitted as, once routed.
        domain: Its present failure domain.
        placement: Where it runs, while it does.
        first_start_ms: When all tasks first ran.
        started_ms: When the present attempt started.
        ended_ms: When it came to its final result.
        code: The final result.
        attempts: Placements made.
        evictions: How often it was stopped to reclaim its room.
        moves: How often it went to another failure domain while queued.
        progress: Share of its work that is saved.
        evicting: Whether it has been told to stop.
        waited_reclaim: Whether others were stopped for it.
    """

    job: workload.TracedJob
    spec: jobs.JobSpec
    domain: ids.FailureDomainId = workload.UNROUTED
    placement: jobs.Placement | None = None
    first_start_ms: int | None = None
    started_ms: int | None = None
    ended_ms: int | None = None
    code: codes.ResultCode | None = None
    attempts: int = 0
    evictions: int = 0
    moves: int = 0
    progress: float = 0.0
    evicting: bool = False
    waited_reclaim: bool = False

    def progress_at(self, now_ms: int) -> float:
        """Returns the share of its work that is done.

        Args:
            now_ms: The time.

        Returns:
            A share between 0 and 1.
        """
        if self.started_ms is None:
            return self.progress
        ran_s = (now_ms - self.started_ms) / 1_000
        return min(1.0, self.progress + ran_s / self.job.true_run_s)

    def saved_at(self, now_ms: int) -> float:
        """Returns the share that the last periodic checkpoint holds.

        Args:
            now_ms: The time.

        Returns:
            A share between 0 and 1.
        """
        if self.started_ms is None:
            return self.progress
        ran_s = (now_ms - self.started_ms) / 1_000
        kept_s = ran_s // PERIODIC_CHECKPOINT_S * PERIODIC_CHECKPOINT_S
        return min(1.0, self.progress + kept_s / self.job.true_run_s)


class Replay:
    """One workload on one site under one policy."""

    def __init__(
        self,
        *,
        site: sites.Site,
        trace: tuple[workload.TracedJob, ...],
        policy: str,
        horizon_ms: int,
        changes: tuple[tuple[int, Change], ...] = (),
        sample_ms: int = workload.MINUTE_MS,
    ) -> None:
        """Initializes a replay at time 0.

        Args:
            site: The pool and the first configuration.
            trace: The jobs.
            policy: The policy of the schedulers.
            horizon_ms: When the replay ends.
            changes: Changes of the surroundings with their times.
            sample_ms: The period of the fragmentation samples.
        """
        self.policy = policy
        self.horizon_ms = horizon_ms
        self.configuration = site.configuration
        self.usage = pool_usage.PoolUsage(workers=site.workers)
        self.jobs = [JobTrace(job=job, spec=job.spec) for job in trace]
        self.mix = _mix(trace)
        self.paying = frozenset(
            account.name
            for account in site.configuration.accounts
            if account.account_class is states.AccountClass.PAYING
        )
        self.fragmentation = pool_usage.Fragmentation()
        self.arrival_fragmentation = pool_usage.Fragmentation()
        self.capacity = accounting.StepFunction()
        self.served = {
            d: accounting.ServedShares(guaranteed=_guaranteed(site, d))
            for d in site.domains
        }
        self.counts: collections.Counter[str] = collections.Counter()
        self.late_starts = 0
        self.grace_ms = 0
        self._out_since_ms: dict[ids.FailureDomainId, int] = {}
        self._sample_ms = sample_ms
        self._broken: set[ids.WorkerId] = set()
        self._by_id: dict[ids.JobId, int] = {}
        self._queued: dict[ids.FailureDomainId, set[int]] = {
            d: set() for d in site.domains
        }
        self._heap: list[tuple[int, int, object]] = []
        self._sequence = itertools.count()
        self._entries = itertools.count()
        self._tried_ms: dict[int, int] = {}
        self._versions: collections.Counter[str] = collections.Counter()
        self._refused_at: dict[tuple, int] = {}
        self._allowed: dict[tuple, tuple[ids.FailureDomainId, ...]] = {}
        self._holding = collections.defaultdict(set)
        for row in site.configuration.guarantees:
            self._holding[row.account].add(row.failure_domain)
        self._schedulers = {
            d: scheduler_lib.DomainScheduler(failure_domain=d, policy=policy)
            for d in site.domains
        }
        self._capacity_now = dict.fromkeys(site.domains, 0)
        for domain, scheduler in self._schedulers.items():
            scheduler.set_configuration(site.configuration)
            scheduler.set_workers(
                tuple(w for w in site.workers if w.failure_domain == domain)
            )
            self._set_capacity(domain, 0)
        self._schedule_all(changes)

    def run(self) -> "Replay":
        """Handles every event up to the horizon.

        Returns:
            The replay itself.
        """
        while self._heap and self._heap[0][0] < self.horizon_ms:
            now_ms = self._heap[0][0]
            touched = set()
            while self._heap and self._heap[0][0] == now_ms:
                touched |= self._handle(heapq.heappop(self._heap)[2], now_ms)
            for domain in sorted(touched):
                self._decide(domain, now_ms)
        for served in self.served.values():
            served.advance(self.horizon_ms)
        return self

    def _schedule_all(self, changes: tuple[tuple[int, Change], ...]) -> None:
        for at_ms, change in changes:
            self._push(at_ms, change)
        for number, job in enumerate(self.jobs):
            self._push(job.job.arrival_ms, _Arrive(number=number))
            if job.job.cancel_ms is not None:
                self._push(job.job.cancel_ms, _Cancel(number=number))
        for domain in self._schedulers:
            self._push(TICK_MS, _Tick(domain=domain))
        self._push(self._sample_ms, _Sample())
        self._push(MOVE_PERIOD_MS, _MoveWaiting())

    def _push(self, at_ms: int, event: object) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._sequence), event))

    def _handle(self, event: object, now_ms: int) -> set[ids.FailureDomainId]:
        """Handles one event.

        Args:
            event: The event.
            now_ms: The time.

        Returns:
            Failure domains whose scheduler must decide.
        """
        return _HANDLERS[type(event)](self, event, now_ms)

    def _arrive(self, event: _Arrive, now_ms: int) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.code is not None:
            return set()
        domain = self._route(job, now_ms)
        if domain is None:
            self._push(now_ms + RESUBMIT_MS, event)
            return set()
        self._home(event.number, domain)
        refusal = self._schedulers[domain].submit(job.spec, now_ms)
        if refusal is None:
            self._enqueue(event.number, now_ms)
            self._decide(domain, now_ms)
            return set()
        self.counts[f"refused_{refusal.code.name.lower()}"] += 1
        if codes.info(refusal.code).retry:
            self._push(now_ms + RESUBMIT_MS, event)
        else:
            self._end(job, refusal.code, now_ms)
        return set()

    def _route(self, job: JobTrace, now_ms: int) -> ids.FailureDomainId | None:
        """Returns where a VM of any failure domain would submit a job.

        The first failure domain that could start it at once gets it, or else
        the one that ranks first.
        """
        names = list(self._schedulers)
        ranked = homes.rank_job_homes(
            self.configuration,
            job.spec,
            self._rooms(),
            names[next(self._entries) % len(names)],
        )
        for name in ranked:
            if self._would_start(name, job.spec, now_ms):
                return name
        return ranked[0] if ranked else None

    def _would_start(
        self, name: ids.FailureDomainId, spec: jobs.JobSpec, now_ms: int
    ) -> bool:
        """Asks a scheduler, unless nothing changed there since its last no."""
        key = (name, spec.account, pool_usage.shape_of(spec), spec.urgent)
        if self._refused_at.get(key) == self._versions[name]:
            return False
        able = self._schedulers[name].would_start(spec, now_ms)
        if not able:
            self._refused_at[key] = self._versions[name]
        return able

    def _rooms(self) -> dict[ids.FailureDomainId, homes.DomainRoom]:
        return {
            name: homes.DomainRoom(
                accelerators=self._room(name),
                largest_gang=scheduler.largest_gang(),
            )
            for name, scheduler in self._schedulers.items()
        }

    def _move_waiting(
        self, event: _MoveWaiting, now_ms: int
    ) -> set[ids.FailureDomainId]:
        """Moves queued jobs to failure domains that would start them."""
        self._push(now_ms + MOVE_PERIOD_MS, event)
        for domain, numbers in self._queued.items():
            movable = frozenset(self._schedulers[domain].unclaimed())
            due = [
                number
                for number in sorted(numbers, key=self._last_tried)
                if self.jobs[number].first_start_ms is None
                and self.jobs[number].spec.job in movable
                and now_ms - self.jobs[number].job.arrival_ms >= PATIENCE_MS
                and now_ms - self._tried_ms.get(number, -RETRY_MOVE_MS)
                >= RETRY_MOVE_MS
            ]
            for number in due[:MOVES_PER_PERIOD]:
                self._tried_ms[number] = now_ms
                self._try_move(number, domain, now_ms)
        return set()

    def _hopeful(
        self, spec: jobs.JobSpec, domain: ids.FailureDomainId
    ) -> list[ids.FailureDomainId]:
        """Returns other homes with a guarantee or room, most room first."""
        key = (self.configuration.version, spec.account, spec.accelerators)
        if key not in self._allowed:
            self._allowed[key] = shares.homes(self.configuration, spec)
        holding = self._holding[spec.account]
        rooms = {
            name: self._room(name)
            for name in self._allowed[key]
            if name != domain
        }
        return sorted(
            (
                name
                for name, room in rooms.items()
                if name in holding or room >= spec.accelerators
            ),
            key=lambda name: (-rooms[name], name),
        )

    def _room(self, name: ids.FailureDomainId) -> int:
        scheduler = self._schedulers[name]
        return scheduler.free_accelerators() - scheduler.queued_accelerators()

    def _last_tried(self, number: int) -> tuple[int, int]:
        return self._tried_ms.get(number, 0), number

    def _try_move(
        self, number: int, domain: ids.FailureDomainId, now_ms: int
    ) -> None:
        job = self.jobs[number]
        to = next(
            (
                name
                for name in self._hopeful(job.spec, domain)
                if self._would_start(name, job.spec, now_ms)
            ),
            None,
        )
        if to is None:
            return
        self.counts["moves"] += 1
        job.moves += 1
        self._schedulers[domain].cancel(job.spec.job)
        self._dequeue(number, now_ms)
        self._home(number, to)
        self._schedulers[to].restore(job.spec, now_ms, progress=job.progress)
        self._enqueue(number, now_ms)
        self._decide(to, now_ms)

    def _home(self, number: int, domain: ids.FailureDomainId) -> None:
        job = self.jobs[number]
        name = ids.job_id(domain, f"{number:06d}")
        job.spec = msgspec.structs.replace(job.spec, job=name)
        job.domain = domain
        self._by_id[name] = number

    def _enqueue(self, number: int, now_ms: int) -> None:
        job = self.jobs[number]
        self._versions[job.domain] += 1
        self._queued[job.domain].add(number)
        served = self.served[job.domain]
        served.advance(now_ms)
        served.queue(job.spec.account, job.spec.accelerators, 1)

    def _dequeue(self, number: int, now_ms: int) -> None:
        job = self.jobs[number]
        self._versions[job.domain] += 1
        self._queued[job.domain].remove(number)
        served = self.served[job.domain]
        served.advance(now_ms)
        served.queue(job.spec.account, job.spec.accelerators, -1)

    def _decide(self, domain: ids.FailureDomainId, now_ms: int) -> None:
        for decision in self._schedulers[domain].decide(now_ms):
            number = self._by_id[decision.job]
            if isinstance(decision, decisions.PlaceJob):
                self._place(number, decision.placement, now_ms)
            elif isinstance(decision, decisions.EvictJob):
                self._evict(number, decision, now_ms)
            else:
                self._dequeue(number, now_ms)
                self._end(self.jobs[number], decision.result.code, now_ms)

    def _place(
        self, number: int, placement: jobs.Placement, now_ms: int
    ) -> None:
        job = self.jobs[number]
        self._dequeue(number, now_ms)
        self.usage.take(job.spec, placement, 1)
        self.served[job.domain].hold(job.spec.account, job.spec.accelerators)
        job.placement = placement
        job.attempts += 1
        self.counts["placements"] += 1
        event = _Run(number=number, attempt=job.attempts)
        self._push(now_ms + START_DELAY_MS, event)

    def _evict(
        self, number: int, decision: decisions.EvictJob, now_ms: int
    ) -> None:
        job = self.jobs[number]
        beneficiary = self._by_id.get(decision.beneficiary)
        if beneficiary is not None:
            self.jobs[beneficiary].waited_reclaim = True
        self.grace_ms = max(self.grace_ms, decision.grace_ms)
        self.counts["evictions"] += 1
        job.evictions += 1
        self._stop(number, decision.grace_ms, now_ms)

    def _stop(self, number: int, grace_ms: int, now_ms: int) -> None:
        job = self.jobs[number]
        if job.evicting:
            return
        job.evicting = True
        end_ms = now_ms + min(grace_ms, job.job.checkpoint_ms)
        saved = job.job.checkpoint_ms <= grace_ms
        event = _Evicted(
            number=number,
            attempt=job.attempts,
            progress=job.progress_at(now_ms) if saved else job.saved_at(now_ms),
        )
        self._push(end_ms, event)

    def _run(self, event: _Run, now_ms: int) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.placement is None or job.attempts != event.attempt:
            return set()
        culprits = tuple(
            group.worker
            for group in job.placement.groups
            if job.job.fails or group.worker in self._broken
        )
        if culprits:
            return self._fail(event.number, culprits, now_ms)
        job.started_ms = now_ms
        out_ms = self._out_since_ms.get(job.domain, now_ms)
        self.late_starts += now_ms > out_ms + START_DELAY_MS
        if job.first_start_ms is None:
            job.first_start_ms = now_ms
        self._schedulers[job.domain].started(job.spec.job, now_ms)
        left_s = (1.0 - job.progress) * job.job.true_run_s
        finish = _Finish(number=event.number, attempt=event.attempt)
        self._push(now_ms + max(1, round(left_s * 1_000)), finish)
        return set()

    def _fail(
        self, number: int, culprits: tuple[ids.WorkerId, ...], now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[number]
        self.counts["failed_starts"] += 1
        self._vacate(job, now_ms)
        final = self._schedulers[job.domain].ended(
            job.spec.job,
            decisions.AttemptEnd.FAILED_TO_START,
            now_ms,
            culprits=culprits,
            requeue=True,
        )
        if final is not None:
            self._end(job, final.code, now_ms)
            return {job.domain}
        self._enqueue(number, now_ms)
        if job.attempts >= MAX_ATTEMPTS:
            self.counts["given_up"] += 1
            self._schedulers[job.domain].cancel(job.spec.job)
            self._dequeue(number, now_ms)
            self._end(job, codes.ResultCode.INTERNAL, now_ms)
        return {job.domain}

    def _finish(self, event: _Finish, now_ms: int) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.placement is None or job.attempts != event.attempt:
            return set()
        self._vacate(job, now_ms)
        job.progress = 1.0
        self._schedulers[job.domain].ended(
            job.spec.job, decisions.AttemptEnd.DONE, now_ms
        )
        self._end(job, codes.ResultCode.DONE, now_ms)
        return {job.domain}

    def _evicted(
        self, event: _Evicted, now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.placement is None or job.attempts != event.attempt:
            return set()
        lost = job.progress_at(now_ms) - event.progress
        self.counts["lost_work_s"] += round(lost * job.job.work_s)
        self._vacate(job, now_ms)
        job.progress = event.progress
        out = self._state(job.domain) is states.FailureDomainState.OUT
        self._schedulers[job.domain].ended(
            job.spec.job,
            decisions.AttemptEnd.EVICTED,
            now_ms,
            requeue=not out,
            progress=event.progress,
        )
        if out:
            return self._move(event.number, now_ms) | {job.domain}
        self._enqueue(event.number, now_ms)
        return {job.domain}

    def _vacate(self, job: JobTrace, now_ms: int) -> None:
        served = self.served[job.domain]
        served.advance(now_ms)
        served.hold(job.spec.account, -job.spec.accelerators)
        self.usage.take(job.spec, job.placement, -1)
        self._versions[job.domain] += 1
        job.placement = None
        job.started_ms = None
        job.evicting = False
        if self._state(job.domain) is states.FailureDomainState.OUT:
            self._set_capacity(job.domain, now_ms)

    def _end(self, job: JobTrace, code: codes.ResultCode, now_ms: int) -> None:
        job.code = code
        job.ended_ms = now_ms
        self.counts[f"ended_{code.name.lower()}"] += 1

    def _cancel(self, event: _Cancel, now_ms: int) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.code is not None:
            return set()
        if event.number in self._queued.get(job.domain, ()):
            self._schedulers[job.domain].cancel(job.spec.job)
            self._dequeue(event.number, now_ms)
            self._end(job, codes.ResultCode.CANCELLED_NOT_RUN, now_ms)
        elif job.placement is not None:
            self._vacate(job, now_ms)
            self._schedulers[job.domain].ended(
                job.spec.job, decisions.AttemptEnd.CANCELLED, now_ms
            )
            self._end(job, codes.ResultCode.CANCELLED_AFTER_START, now_ms)
        else:
            self._end(job, codes.ResultCode.CANCELLED_NOT_RUN, now_ms)
            return set()
        return {job.domain}

    def _configure(
        self, event: Configure, now_ms: int
    ) -> set[ids.FailureDomainId]:
        self.configuration = event.configuration
        self._refused_at.clear()
        for domain, scheduler in self._schedulers.items():
            scheduler.set_configuration(event.configuration)
            self._set_capacity(domain, now_ms)
        touched = set(self._schedulers)
        self._out_since_ms = {
            d.name: self._out_since_ms.get(d.name, now_ms)
            for d in event.configuration.failure_domains
            if d.state is states.FailureDomainState.OUT
        }
        for domain in self._schedulers:
            if self._state(domain) is states.FailureDomainState.OUT:
                for number in sorted(self._queued[domain]):
                    self._schedulers[domain].cancel(self.jobs[number].spec.job)
                    self._dequeue(number, now_ms)
                    self._move(number, now_ms)
        return touched

    def _move(self, number: int, now_ms: int) -> set[ids.FailureDomainId]:
        """Queues a job again in a failure domain that is in service."""
        job = self.jobs[number]
        domain = self._route(job, now_ms)
        if domain is None:
            self._push(now_ms + RESUBMIT_MS, _Arrive(number=number))
            return set()
        self._home(number, domain)
        self._schedulers[domain].restore(
            job.spec, now_ms, progress=job.progress
        )
        self._enqueue(number, now_ms)
        return {domain}

    def _power_down(
        self, event: PowerDown, now_ms: int
    ) -> set[ids.FailureDomainId]:
        for number, job in enumerate(self.jobs):
            if job.domain == event.domain and job.placement is not None:
                self._stop(number, job.job.checkpoint_ms, now_ms)
        return set()

    def _break(
        self, event: BreakWorker, now_ms: int
    ) -> set[ids.FailureDomainId]:
        self._broken.add(event.worker)
        return set()

    def _heal(self, event: HealWorker, now_ms: int) -> set[ids.FailureDomainId]:
        self._broken.discard(event.worker)
        return set()

    def _tick(self, event: _Tick, now_ms: int) -> set[ids.FailureDomainId]:
        self._push(now_ms + TICK_MS, event)
        return {event.domain} if self._queued[event.domain] else set()

    def _sample(self, event: _Sample, now_ms: int) -> set[ids.FailureDomainId]:
        self._push(now_ms + self._sample_ms, event)
        for domain, numbers in self._queued.items():
            if self._state(domain) is states.FailureDomainState.OUT:
                continue
            self.arrival_fragmentation.sample(self.usage, domain, self.mix)
            pending = _mix(tuple(self.jobs[n].job for n in sorted(numbers)))
            self.fragmentation.sample(self.usage, domain, pending)
        return set()

    def _state(self, domain: ids.FailureDomainId) -> states.FailureDomainState:
        return next(
            d.state
            for d in self.configuration.failure_domains
            if d.name == domain
        )

    def _set_capacity(self, domain: ids.FailureDomainId, now_ms: int) -> None:
        """Notes what may be used; out of service, only what is still held."""
        total = self.usage.capacity(domain)
        if self._state(domain) is states.FailureDomainState.OUT:
            total -= sum(
                self.usage.free[name].accelerators
                for name in self.usage.by_domain[domain]
            )
        self.served[domain].advance(now_ms)
        self.served[domain].capacity(total)
        self.capacity.add(now_ms, total - self._capacity_now[domain])
        self._capacity_now[domain] = total


_HANDLERS = {
    _Arrive: Replay._arrive,
    _Cancel: Replay._cancel,
    _Run: Replay._run,
    _Finish: Replay._finish,
    _Evicted: Replay._evicted,
    _Tick: Replay._tick,
    _MoveWaiting: Replay._move_waiting,
    _Sample: Replay._sample,
    Configure: Replay._configure,
    PowerDown: Replay._power_down,
    BreakWorker: Replay._break,
    HealWorker: Replay._heal,
}


def _guaranteed(
    site: sites.Site, domain: ids.FailureDomainId
) -> dict[ids.AccountId, int]:
    """Returns what each compared account is guaranteed in a domain."""
    paying = [
        account.name
        for account in site.configuration.accounts
        if account.account_class is states.AccountClass.PAYING
    ]
    if len(paying) > COMPARED_ACCOUNTS:
        return {}
    return {
        account: sum(
            row.copies * row.tasks * row.per_task.accelerators
            for row in site.configuration.guarantees
            if row.account == account and row.failure_domain == domain
        )
        for account in paying
    }


def _mix(
    trace: tuple[workload.TracedJob, ...],
) -> dict[pool_usage.Shape, float]:
    """Returns the shapes of jobs, weighted by accelerator time."""
    mix: dict[pool_usage.Shape, float] = collections.defaultdict(float)
    for job in trace:
        if job.spec.accelerators:
            mix[pool_usage.shape_of(job.spec)] += job.work_s
    return dict(mix)
