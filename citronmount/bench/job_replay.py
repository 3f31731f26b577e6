"""Discrete-event simulation of a job trace on the domain schedulers.

Each failure domain has one `DomainScheduler`. The replay stands in for the
agents around it: it routes jobs, carries out decisions and reports starts and
ends. No message is lost or delayed here; the fault matrix covers that.
"""

import collections
import heapq
import itertools

import msgspec

from citronmount.bench import pool_usage
from citronmount.bench import replay_events
from citronmount.bench import replay_routing
from citronmount.bench import replay_usage
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import scheduler as scheduler_lib
from citronmount.core import states

__all__ = ["Replay"]

START_DELAY_MS = 120
RESUBMIT_MS = 30_000
TICK_MS = 15_000
MAX_ATTEMPTS = 60
MOVE_PERIOD_MS = 10_000
MOVES_PER_PERIOD = 50
MOVE_MIN_AGE_MS = 1_000
MOVE_RETRY_MS = 10_000


class Replay:
    """Simulation of one workload on one site under one policy.

    Attributes:
        capacity: Accelerators that jobs may use, over time.
        arrival_mix: Work of the trace by gang shape, the weights of
            `arrival_fragmentation`.
        late_starts: Starts more than START_DELAY_MS after a domain went out.
        max_grace_ms: Longest grace period given to an evicted job.
    """

    def __init__(
        self,
        *,
        site: sites.Site,
        trace: tuple[workload.TracedJob, ...],
        policy: str,
        horizon_ms: int,
        changes: tuple[tuple[int, replay_events.EnvironmentChange], ...] = (),
        sample_ms: int = workload.MINUTE_MS,
    ) -> None:
        """Initializes a replay at time 0.

        Args:
            site: The pool and the first configuration.
            trace: The jobs.
            policy: Name of the schedulers' policy.
            horizon_ms: Time at which the replay ends.
            changes: Times and changes of workers and configuration.
            sample_ms: Period of the fragmentation samples.
        """
        self.policy = policy
        self.horizon_ms = horizon_ms
        self.configuration = site.configuration
        self._recorder = replay_usage.UsageRecorder(site=site)
        self.usage = self._recorder.usage
        self.capacity = self._recorder.capacity
        self.fair_shares = self._recorder.fair_shares
        self.jobs = [
            replay_events.JobReplay(job=job, spec=job.spec) for job in trace
        ]
        self.arrival_mix = replay_usage.work_by_shape(trace)
        self.paying_accounts = frozenset(
            replay_usage.paying_accounts(site.configuration)
        )
        self.fragmentation = pool_usage.FragmentationMean()
        self.arrival_fragmentation = pool_usage.FragmentationMean()
        self.counts: collections.Counter[str] = collections.Counter()
        self.late_starts = 0
        self.max_grace_ms = 0
        self._out_since_ms: dict[ids.FailureDomainId, int] = {}
        self._sample_ms = sample_ms
        self._broken_workers: set[ids.WorkerId] = set()
        self._job_numbers: dict[ids.JobId, int] = {}
        self._queued: dict[ids.FailureDomainId, set[int]] = {
            d: set() for d in site.domains
        }
        self._heap: list[tuple[int, int, object]] = []
        self._sequence = itertools.count()
        self._move_tried_ms: dict[int, int] = {}
        self._schedulers = {
            d: scheduler_lib.DomainScheduler(failure_domain=d, policy=policy)
            for d in site.domains
        }
        self._router = replay_routing.JobRouter(
            schedulers=self._schedulers, configuration=site.configuration
        )
        for domain, scheduler in self._schedulers.items():
            scheduler.set_configuration(site.configuration)
            scheduler.set_workers(
                tuple(w for w in site.workers if w.failure_domain == domain)
            )
            self._recorder.update_capacity(domain, 0)
        self._schedule_all(changes)

    def run(self) -> "Replay":
        """Handles the events before the horizon and returns the replay."""
        while self._heap and self._heap[0][0] < self.horizon_ms:
            now_ms = self._heap[0][0]
            to_decide = set()
            while self._heap and self._heap[0][0] == now_ms:
                to_decide |= self._handle(heapq.heappop(self._heap)[2], now_ms)
            for domain in sorted(to_decide):
                self._decide(domain, now_ms)
        self._recorder.advance(self.horizon_ms)
        return self

    def _schedule_all(
        self, changes: tuple[tuple[int, replay_events.EnvironmentChange], ...]
    ) -> None:
        for at_ms, change in changes:
            self._push(at_ms, change)
        for number, job in enumerate(self.jobs):
            self._push(job.job.arrival_ms, replay_events.Submit(number=number))
            if job.job.cancel_ms is not None:
                self._push(
                    job.job.cancel_ms, replay_events.Cancel(number=number)
                )
        for domain in self._schedulers:
            self._push(TICK_MS, replay_events.Tick(domain=domain))
        self._push(self._sample_ms, replay_events.SampleFragmentation())
        self._push(MOVE_PERIOD_MS, replay_events.MoveQueuedJobs())

    def _push(self, at_ms: int, event: object) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._sequence), event))

    def _handle(self, event: object, now_ms: int) -> set[ids.FailureDomainId]:
        """Handles an event and returns the domains that must then decide."""
        return _HANDLERS[type(event)](self, event, now_ms)

    def _submit(
        self, event: replay_events.Submit, now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.code is not None:
            return set()
        domain = self._router.route(job.spec, now_ms)
        if domain is None:
            self._push(now_ms + RESUBMIT_MS, event)
            return set()
        self._assign_domain(event.number, domain)
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

    def _move_queued(
        self, event: replay_events.MoveQueuedJobs, now_ms: int
    ) -> set[ids.FailureDomainId]:
        """Moves queued jobs to failure domains that can start them now."""
        self._push(now_ms + MOVE_PERIOD_MS, event)
        for domain, numbers in self._queued.items():
            movable = frozenset(
                self._schedulers[domain].queued_without_placement()
            )
            due = [
                number
                for number in sorted(numbers, key=self._last_tried)
                if self.jobs[number].first_start_ms is None
                and self.jobs[number].spec.job in movable
                and now_ms - self.jobs[number].job.arrival_ms >= MOVE_MIN_AGE_MS
                and now_ms - self._move_tried_ms.get(number, -MOVE_RETRY_MS)
                >= MOVE_RETRY_MS
            ]
            for number in due[:MOVES_PER_PERIOD]:
                self._move_tried_ms[number] = now_ms
                self._try_move(number, domain, now_ms)
        return set()

    def _last_tried(self, number: int) -> tuple[int, int]:
        return self._move_tried_ms.get(number, 0), number

    def _try_move(
        self, number: int, domain: ids.FailureDomainId, now_ms: int
    ) -> None:
        job = self.jobs[number]
        to = self._router.find_better_domain(job.spec, domain, now_ms)
        if to is None:
            return
        self.counts["moves"] += 1
        job.moves += 1
        self._schedulers[domain].cancel(job.spec.job)
        self._dequeue(number, now_ms)
        self._assign_domain(number, to)
        self._schedulers[to].restore(job.spec, now_ms, progress=job.progress)
        self._enqueue(number, now_ms)
        self._decide(to, now_ms)

    def _assign_domain(self, number: int, domain: ids.FailureDomainId) -> None:
        job = self.jobs[number]
        name = ids.job_id(domain, f"{number:06d}")
        job.spec = msgspec.structs.replace(job.spec, job=name)
        job.domain = domain
        self._job_numbers[name] = number

    def _enqueue(self, number: int, now_ms: int) -> None:
        job = self.jobs[number]
        self._router.record_change(job.domain)
        self._queued[job.domain].add(number)
        self._recorder.record_queued(job.domain, job.spec, 1, now_ms)

    def _dequeue(self, number: int, now_ms: int) -> None:
        job = self.jobs[number]
        self._router.record_change(job.domain)
        self._queued[job.domain].remove(number)
        self._recorder.record_queued(job.domain, job.spec, -1, now_ms)

    def _decide(self, domain: ids.FailureDomainId, now_ms: int) -> None:
        for decision in self._schedulers[domain].decide(now_ms):
            number = self._job_numbers[decision.job]
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
        self._recorder.record_placed(job.domain, job.spec, placement)
        job.placement = placement
        job.attempts += 1
        self.counts["placements"] += 1
        event = replay_events.StartGang(number=number, attempt=job.attempts)
        self._push(now_ms + START_DELAY_MS, event)

    def _evict(
        self, number: int, decision: decisions.EvictJob, now_ms: int
    ) -> None:
        job = self.jobs[number]
        beneficiary = self._job_numbers.get(decision.beneficiary)
        if beneficiary is not None:
            self.jobs[beneficiary].waited_reclaim = True
        self.max_grace_ms = max(self.max_grace_ms, decision.grace_ms)
        self.counts["evictions"] += 1
        job.evictions += 1
        self._begin_stop(number, decision.grace_ms, now_ms)

    def _begin_stop(self, number: int, grace_ms: int, now_ms: int) -> None:
        job = self.jobs[number]
        if job.evicting:
            return
        job.evicting = True
        end_ms = now_ms + min(grace_ms, job.job.checkpoint_ms)
        saved = job.job.checkpoint_ms <= grace_ms
        event = replay_events.FinishEviction(
            number=number,
            attempt=job.attempts,
            progress=job.progress_at(now_ms) if saved else job.saved_at(now_ms),
        )
        self._push(end_ms, event)

    def _start_gang(
        self, event: replay_events.StartGang, now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.placement is None or job.attempts != event.attempt:
            return set()
        culprits = tuple(
            group.worker
            for group in job.placement.groups
            if job.job.fails or group.worker in self._broken_workers
        )
        if culprits:
            return self._fail_start(event.number, culprits, now_ms)
        job.started_ms = now_ms
        out_ms = self._out_since_ms.get(job.domain, now_ms)
        self.late_starts += now_ms > out_ms + START_DELAY_MS
        if job.first_start_ms is None:
            job.first_start_ms = now_ms
        self._schedulers[job.domain].attempt_started(job.spec.job, now_ms)
        left_s = (1.0 - job.progress) * job.job.true_run_s
        finish = replay_events.Finish(
            number=event.number, attempt=event.attempt
        )
        self._push(now_ms + max(1, round(left_s * 1_000)), finish)
        return set()

    def _fail_start(
        self, number: int, culprits: tuple[ids.WorkerId, ...], now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[number]
        self.counts["failed_starts"] += 1
        self._release(job, now_ms)
        final = self._schedulers[job.domain].attempt_ended(
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

    def _finish(
        self, event: replay_events.Finish, now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.placement is None or job.attempts != event.attempt:
            return set()
        self._release(job, now_ms)
        job.progress = 1.0
        self._schedulers[job.domain].attempt_ended(
            job.spec.job, decisions.AttemptEnd.DONE, now_ms
        )
        self._end(job, codes.ResultCode.DONE, now_ms)
        return {job.domain}

    def _finish_eviction(
        self, event: replay_events.FinishEviction, now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.placement is None or job.attempts != event.attempt:
            return set()
        lost = job.progress_at(now_ms) - event.progress
        self.counts["lost_work_s"] += round(lost * job.job.work_s)
        self._release(job, now_ms)
        job.progress = event.progress
        out = self._recorder.is_out_of_service(job.domain)
        self._schedulers[job.domain].attempt_ended(
            job.spec.job,
            decisions.AttemptEnd.EVICTED,
            now_ms,
            requeue=not out,
            progress=event.progress,
        )
        if out:
            return self._requeue(event.number, now_ms) | {job.domain}
        self._enqueue(event.number, now_ms)
        return {job.domain}

    def _release(self, job: replay_events.JobReplay, now_ms: int) -> None:
        self._recorder.record_freed(job.domain, job.spec, job.placement, now_ms)
        self._router.record_change(job.domain)
        job.placement = None
        job.started_ms = None
        job.evicting = False

    def _end(
        self, job: replay_events.JobReplay, code: codes.ResultCode, now_ms: int
    ) -> None:
        job.code = code
        job.ended_ms = now_ms
        self.counts[f"ended_{code.name.lower()}"] += 1

    def _cancel(
        self, event: replay_events.Cancel, now_ms: int
    ) -> set[ids.FailureDomainId]:
        job = self.jobs[event.number]
        if job.code is not None:
            return set()
        if event.number in self._queued.get(job.domain, ()):
            self._schedulers[job.domain].cancel(job.spec.job)
            self._dequeue(event.number, now_ms)
            self._end(job, codes.ResultCode.CANCELLED_NOT_RUN, now_ms)
        elif job.placement is not None:
            self._release(job, now_ms)
            self._schedulers[job.domain].attempt_ended(
                job.spec.job, decisions.AttemptEnd.CANCELLED, now_ms
            )
            self._end(job, codes.ResultCode.CANCELLED_AFTER_START, now_ms)
        else:
            self._end(job, codes.ResultCode.CANCELLED_NOT_RUN, now_ms)
            return set()
        return {job.domain}

    def _configure(
        self, event: replay_events.ApplyConfiguration, now_ms: int
    ) -> set[ids.FailureDomainId]:
        self.configuration = event.configuration
        self._recorder.configuration = event.configuration
        self._router.adopt_configuration(event.configuration)
        for domain, scheduler in self._schedulers.items():
            scheduler.set_configuration(event.configuration)
            self._recorder.update_capacity(domain, now_ms)
        to_decide = set(self._schedulers)
        self._out_since_ms = {
            d.name: self._out_since_ms.get(d.name, now_ms)
            for d in event.configuration.failure_domains
            if d.state is states.FailureDomainState.OUT
        }
        for domain in self._schedulers:
            if self._recorder.is_out_of_service(domain):
                for number in sorted(self._queued[domain]):
                    self._schedulers[domain].cancel(self.jobs[number].spec.job)
                    self._dequeue(number, now_ms)
                    self._requeue(number, now_ms)
        return to_decide

    def _requeue(self, number: int, now_ms: int) -> set[ids.FailureDomainId]:
        """Queues a job in a failure domain that is in service, or retries."""
        job = self.jobs[number]
        domain = self._router.route(job.spec, now_ms)
        if domain is None:
            self._push(
                now_ms + RESUBMIT_MS, replay_events.Submit(number=number)
            )
            return set()
        self._assign_domain(number, domain)
        self._schedulers[domain].restore(
            job.spec, now_ms, progress=job.progress
        )
        self._enqueue(number, now_ms)
        return {domain}

    def _power_down(
        self, event: replay_events.PowerDownDomain, now_ms: int
    ) -> set[ids.FailureDomainId]:
        for number, job in enumerate(self.jobs):
            if job.domain == event.domain and job.placement is not None:
                self._begin_stop(number, job.job.checkpoint_ms, now_ms)
        return set()

    def _break_worker(
        self, event: replay_events.BreakWorker, now_ms: int
    ) -> set[ids.FailureDomainId]:
        self._broken_workers.add(event.worker)
        return set()

    def _repair_worker(
        self, event: replay_events.RepairWorker, now_ms: int
    ) -> set[ids.FailureDomainId]:
        self._broken_workers.discard(event.worker)
        return set()

    def _tick(
        self, event: replay_events.Tick, now_ms: int
    ) -> set[ids.FailureDomainId]:
        self._push(now_ms + TICK_MS, event)
        return {event.domain} if self._queued[event.domain] else set()

    def _sample(
        self, event: replay_events.SampleFragmentation, now_ms: int
    ) -> set[ids.FailureDomainId]:
        self._push(now_ms + self._sample_ms, event)
        for domain, numbers in self._queued.items():
            if self._recorder.is_out_of_service(domain):
                continue
            self.arrival_fragmentation.record(
                self.usage, domain, self.arrival_mix
            )
            pending = replay_usage.work_by_shape(
                self.jobs[n].job for n in sorted(numbers)
            )
            self.fragmentation.record(self.usage, domain, pending)
        return set()


_HANDLERS = {
    replay_events.Submit: Replay._submit,
    replay_events.Cancel: Replay._cancel,
    replay_events.StartGang: Replay._start_gang,
    replay_events.Finish: Replay._finish,
    replay_events.FinishEviction: Replay._finish_eviction,
    replay_events.Tick: Replay._tick,
    replay_events.MoveQueuedJobs: Replay._move_queued,
    replay_events.SampleFragmentation: Replay._sample,
    replay_events.ApplyConfiguration: Replay._configure,
    replay_events.PowerDownDomain: Replay._power_down,
    replay_events.BreakWorker: Replay._break_worker,
    replay_events.RepairWorker: Replay._repair_worker,
}
