"""The scheduler of one failure domain: which job runs where, and when."""

import heapq
import itertools

from citronmount.config import configuration as configuration_lib
from citronmount.core import admission
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import fragmentation
from citronmount.core import guaranteed_placement
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import opportunistic_placement
from citronmount.core import queueing
from citronmount.core import shapes
from citronmount.core import start_prediction
from citronmount.core import states
from citronmount.core import verdicts
from citronmount.services import messages

__all__ = ["DomainScheduler"]

_PRESS_RUN_TIMES = 2


class DomainScheduler:
    """Decides for the workers and jobs of one failure domain.

    It does no input or output and reads no clock: every call carries the
    monotonic time in ms. Callers report what happened and carry out what
    `decide` returns.
    """

    def __init__(
        self,
        *,
        failure_domain: ids.FailureDomainId,
        policy: str = "citron",
    ) -> None:
        """Initializes a scheduler with no workers and no configuration.

        Args:
            failure_domain: The failure domain to decide for.
            policy: Name of a registered policy.
        """
        self.failure_domain = failure_domain
        self.policy = policy
        self._domain = domain_state.DomainState(policy=policy)
        self._admission = admission.Admission(domain=self._domain)
        self._sequence = itertools.count()
        self._now_ms = 0
        self._wall_offset_ms: int | None = None
        self._wall_is_set = False
        self._changed = True

    def set_wall_clock(self, *, now_ms: int, wall_ms: int) -> None:
        """Notes what wall-clock time a monotonic time is, for deadlines.

        Without this call the wall clock is inferred from the acceptance times
        of submitted jobs.

        Args:
            now_ms: Monotonic time.
            wall_ms: Wall-clock time in ms since the epoch.
        """
        self._wall_offset_ms = wall_ms - now_ms
        self._wall_is_set = True

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes over a new version of the configuration.

        Args:
            configuration: The version in force.
        """
        self._changed = True
        self._domain.configure(configuration, self.failure_domain, self._now_ms)

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the list of workers of the failure domain.

        Workers that are no longer listed keep their jobs until these end but
        get no new ones.

        Args:
            workers: The workers, with capacity and rack.
        """
        changed = self._domain.pool.list_workers(workers)
        for worker in changed:
            self._domain.refresh_worker(worker, self._now_ms)
        if changed:
            self._changed = True
            self._admission.refresh()

    def set_worker_state(
        self, worker: ids.WorkerId, state: states.TargetState, now_ms: int
    ) -> None:
        """Notes whether a worker may get new tasks.

        Args:
            worker: The worker.
            state: Only UP lets new tasks be placed.
            now_ms: Monotonic time.
        """
        self._advance(now_ms)
        if self._domain.pool.set_state(worker, state):
            self._changed = True
            self._domain.refresh_worker(worker, self._now_ms)

    def submit(self, spec: jobs.JobSpec, now_ms: int) -> jobs.JobResult | None:
        """Checks a new job and queues it.

        Args:
            spec: The job.
            now_ms: Monotonic time.

        Returns:
            None if the job is queued, otherwise why it can never run or
            cannot be queued now. A refusal changes nothing.
        """
        self._advance(now_ms)
        self._infer_wall_clock(spec)
        if self._knows(spec.job):
            return None
        refusal = self._admission.check(spec, self._wall_ms())
        if refusal is None:
            self._domain.mix.note(shapes.of_job(spec), spec.run_time_s)
            self._enqueue(self._entry(spec, 0.0))
        return refusal

    def restore(
        self, spec: jobs.JobSpec, now_ms: int, *, progress: float = 0.0
    ) -> None:
        """Queues a job that was accepted before, without any check.

        Args:
            spec: The job.
            now_ms: Monotonic time.
            progress: Saved share of its work, between 0 and 1.
        """
        self._advance(now_ms)
        if not self._knows(spec.job):
            self._enqueue(self._entry(spec, progress))

    def adopt(
        self,
        spec: jobs.JobSpec,
        placement: jobs.Placement,
        now_ms: int,
        *,
        running_ms: int = 0,
    ) -> None:
        """Takes over an attempt that already holds room at the workers.

        Args:
            spec: The job.
            placement: Where it runs.
            now_ms: Monotonic time.
            running_ms: How long it has run.
        """
        self._advance(now_ms)
        domain = self._domain
        entry = self._forget(spec.job) or self._entry(spec, 0.0)
        entry.ran = True
        domain.place(entry, placement.groups, self._now_ms)
        domain.placed[spec.job].since_ms = self._now_ms - running_ms
        domain.unsettled.add(spec.account)
        self._changed = True

    def attempt_started(self, job: ids.JobId, now_ms: int) -> None:
        """Notes that every task of a placed job has started.

        Args:
            job: The job.
            now_ms: Monotonic time.
        """
        self._advance(now_ms)
        placed = self._domain.placed.get(job)
        if placed is not None:
            placed.entry.ran = True
            placed.since_ms = self._now_ms

    def attempt_ended(
        self,
        job: ids.JobId,
        how: decisions.AttemptEnd,
        now_ms: int,
        *,
        culprits: tuple[ids.WorkerId, ...] = (),
        requeue: bool = False,
        progress: float = 0.0,
    ) -> jobs.JobResult | None:
        """Notes that an attempt has ended and frees its room.

        Args:
            job: The job.
            how: How it ended.
            now_ms: Monotonic time.
            culprits: Workers at which it failed or refused to start.
            requeue: Whether the job may run again and goes back to the queue.
            progress: Saved share of its work, between 0 and 1.

        Returns:
            A final result if the job was to be queued again but must not run
            again, because it failed on several distinct workers; otherwise
            None.
        """
        self._advance(now_ms)
        self._changed = True
        placed = self._domain.remove(job, self._now_ms)
        if placed is None:
            return None
        verdicts.learn(self._domain, placed, how, culprits, self._now_ms)
        if not requeue:
            return None
        entry = placed.entry
        if verdicts.failed_everywhere(entry):
            self._domain.health.retract(job)
            return jobs.JobResult(
                code=codes.ResultCode.FAILED_EVERYWHERE,
                detail=", ".join(sorted(entry.failed_on)),
            )
        entry.progress = min(max(entry.progress, progress), 1.0)
        self._enqueue(entry)
        return None

    def cancel(self, job: ids.JobId) -> bool:
        """Removes a job from the queue.

        Args:
            job: The job.

        Returns:
            Whether it was queued; a placed job is not touched.
        """
        if job in self._domain.pending_placements:
            self._domain.release_claim(job, self._now_ms, requeue=False)
            self._changed = True
            return True
        if self._domain.queue.remove(job) is None:
            return False
        self._changed = True
        return True

    def would_start(self, spec: jobs.JobSpec, now_ms: int) -> bool:
        """Returns whether a new job would start or get room evicted now.

        Args:
            spec: The job, not submitted yet.
            now_ms: Monotonic time.

        Returns:
            See `start_prediction.would_start`.
        """
        self._advance(now_ms)
        entry = self._entry(spec, 0.0)
        return start_prediction.would_start(self._domain, entry, self._now_ms)

    def decide(self, now_ms: int) -> list[decisions.Decision]:
        """Returns what to do now.

        Room for every `PlaceJob` is set aside until `ended` is called; every
        `EvictJob` is returned once.

        Args:
            now_ms: Monotonic time.

        Returns:
            The decisions, in the order in which to carry them out.
        """
        self._advance(now_ms)
        ended = self._expire()
        self._wake_up()
        if not self._changed or not self._domain.in_service:
            return ended
        self._changed = False
        domain = self._domain
        domain.secure()
        guaranteed_placement.settle(domain)
        return [
            *ended,
            *guaranteed_placement.redeem(domain, self._now_ms),
            *guaranteed_placement.place(domain, self._now_ms),
            *opportunistic_placement.place(domain, self._now_ms),
        ]

    def queued(self) -> tuple[ids.JobId, ...]:
        """Returns the queued jobs, first in line first."""
        waiting = (entry.spec.job for entry in self._domain.queue)
        return (*self._domain.pending_placements, *waiting)

    def queued_without_placement(self) -> tuple[ids.JobId, ...]:
        """Returns the queued jobs for which no room is being cleared."""
        return tuple(entry.spec.job for entry in self._domain.queue)

    def revocable(self, job: ids.JobId) -> bool:
        """Returns whether a placed job may be evicted for another."""
        return self._domain.revocable(job)

    def quarantined(self) -> tuple[ids.WorkerId, ...]:
        """Returns the workers that fail the jobs placed on them."""
        return self._domain.health.quarantined()

    def unsecured(self) -> int:
        """Returns how many guaranteed gangs have no room in the pool."""
        self._domain.secure()
        return len(self._domain.plan.unplanned())

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued jobs cannot use.

        See `fragmentation.share_unusable`.
        """
        pending: dict[shapes.Shape, int] = {}
        for entry in self._domain.queue:
            pending[entry.shape] = pending.get(entry.shape, 0) + 1
        return fragmentation.share_unusable(self._domain.pool.free, pending)

    def free_accelerators(self) -> int:
        """Returns how many accelerators of usable workers no job holds."""
        return self._domain.pool.free.total

    def queued_accelerators(self) -> int:
        """Returns how many accelerators the queued jobs ask for."""
        claimed = sum(
            claim.entry.shape.accelerators
            for claim in self._domain.pending_placements.values()
        )
        return claimed + self._domain.queue.accelerators

    def largest_gang(self) -> int:
        """Returns the accelerators of the failure domain's usable workers."""
        pool = self._domain.pool
        return sum(pool.capacity(worker).accelerators for worker in pool.free)

    def _advance(self, now_ms: int) -> None:
        self._now_ms = max(self._now_ms, now_ms)

    def _wall_ms(self) -> int | None:
        if self._wall_offset_ms is None:
            return None
        return self._now_ms + self._wall_offset_ms

    def _infer_wall_clock(self, spec: jobs.JobSpec) -> None:
        if self._wall_is_set or not spec.submitted_ms:
            return
        offset_ms = spec.submitted_ms - self._now_ms
        known = self._wall_offset_ms
        if known is None or offset_ms > known:
            self._wall_offset_ms = offset_ms

    def _knows(self, job: ids.JobId) -> bool:
        domain = self._domain
        return (
            job in domain.queue
            or job in domain.placed
            or job in domain.pending_placements
        )

    def _entry(self, spec: jobs.JobSpec, progress: float) -> queueing.Entry:
        return queueing.Entry(
            spec=spec, sequence=next(self._sequence), progress=progress
        )

    def _forget(self, job: ids.JobId) -> queueing.Entry | None:
        domain = self._domain
        if job in domain.pending_placements:
            domain.release_claim(job, self._now_ms)
        placed = domain.remove(job, self._now_ms)
        return placed.entry if placed else domain.queue.remove(job)

    def _enqueue(self, entry: queueing.Entry) -> None:
        self._changed = True
        press_at_ms = None
        if entry.spec.deadline_ms is not None:
            run_ms = self._domain.estimator.run_ms(entry.spec, entry.progress)
            press_at_ms = entry.spec.deadline_ms - _PRESS_RUN_TIMES * run_ms
        self._domain.enqueue(entry, self._now_ms, press_at_ms)

    def _expire(self) -> list[decisions.EndJob]:
        wall_ms = self._wall_ms()
        if wall_ms is None:
            return []
        if self._domain.queue.press(wall_ms):
            self._changed = True
        expired = self._domain.queue.expired(wall_ms)
        if expired:
            self._changed = True
        return [
            decisions.EndJob(job=entry.spec.job, result=verdicts.expired(entry))
            for entry in expired
        ]

    def _wake_up(self) -> None:
        wake_up_times_ms = self._domain.wake_up_times_ms
        while wake_up_times_ms and wake_up_times_ms[0] <= self._now_ms:
            heapq.heappop(wake_up_times_ms)
            self._changed = True
        for worker in self._domain.health.due(self._now_ms):
            self._changed = True
            self._domain.refresh_worker(worker, self._now_ms)
