"""Schedules the jobs of one failure domain onto its workers."""

import heapq
import itertools

from citronmount.clients import messages
from citronmount.config import configuration as configuration_lib
from citronmount.core import admission
from citronmount.core import attempt_outcomes
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import domain_state
from citronmount.core import fragmentation
from citronmount.core import guaranteed_placement
from citronmount.core import ids
from citronmount.core import job_queue
from citronmount.core import jobs
from citronmount.core import opportunistic_placement
from citronmount.core import shapes
from citronmount.core import start_prediction
from citronmount.core import states

__all__ = ["DomainScheduler"]

# A queued job is promoted this many expected run times before its deadline.
_PROMOTE_RUN_TIMES = 2


class DomainScheduler:
    """Decides which jobs of a failure domain run where and when.

    Does no input or output and reads no clock: callers pass the monotonic time
    in ms, report events and carry out the decisions that `decide` returns.

    Attributes:
        failure_domain: The failure domain.
        policy: Name of the scheduling policy.
    """

    def __init__(
        self,
        *,
        failure_domain: ids.FailureDomainId,
        policy: str = "citron",
    ) -> None:
        """Initializes a scheduler without workers and configuration.

        Args:
            failure_domain: The failure domain.
            policy: Name of a registered policy; see `policies`.
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
        """Sets the Unix time that a monotonic time corresponds to.

        Deadlines are checked against it. Without this call it is inferred from
        the acceptance times of submitted jobs.

        Args:
            now_ms: Monotonic time.
            wall_ms: Unix time in ms.
        """
        self._wall_offset_ms = wall_ms - now_ms
        self._wall_is_set = True

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new version of the configuration.

        Args:
            configuration: The version in force.
        """
        self._changed = True
        self._domain.configure(configuration, self.failure_domain, self._now_ms)

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Replaces the list of the failure domain's workers.

        Workers that are no longer listed keep their jobs until these end but
        get no new ones.

        Args:
            workers: The workers, with capacity and rack.
        """
        changed = self._domain.pool.update_workers(workers)
        for worker in changed:
            self._domain.refresh_worker(worker, self._now_ms)
        if changed:
            self._changed = True
            self._admission.refresh()

    def set_worker_state(
        self, worker: ids.WorkerId, state: states.TargetState, now_ms: int
    ) -> None:
        """Sets the state of a worker.

        Args:
            worker: The worker.
            state: Its state; new tasks are placed only on workers that are UP.
            now_ms: Monotonic time.
        """
        self._advance_clock(now_ms)
        if self._domain.pool.set_state(worker, state):
            self._changed = True
            self._domain.refresh_worker(worker, self._now_ms)

    def submit(self, spec: jobs.JobSpec, now_ms: int) -> jobs.JobResult | None:
        """Validates a new job and queues it.

        Submitting a job that is already known has no effect.

        Args:
            spec: The job.
            now_ms: Monotonic time.

        Returns:
            None if the job is queued, otherwise the refusal: the job can never
            run or cannot be queued now. A refusal changes nothing.
        """
        self._advance_clock(now_ms)
        self._infer_wall_clock(spec)
        if self._is_known(spec.job):
            return None
        refusal = self._admission.check(spec, self._wall_ms())
        if refusal is None:
            self._domain.mix.add_submission(
                shapes.of_job(spec), spec.run_time_s
            )
            self._enqueue(self._new_entry(spec, 0.0))
        return refusal

    def restore(
        self, spec: jobs.JobSpec, now_ms: int, *, progress: float = 0.0
    ) -> None:
        """Queues a job that was accepted earlier, without validation.

        Args:
            spec: The job.
            now_ms: Monotonic time.
            progress: Fraction of the work that is checkpointed, 0 to 1.
        """
        self._advance_clock(now_ms)
        if not self._is_known(spec.job):
            self._enqueue(self._new_entry(spec, progress))

    def adopt(
        self,
        spec: jobs.JobSpec,
        placement: jobs.Placement,
        now_ms: int,
        *,
        running_ms: int = 0,
    ) -> None:
        """Adopts an attempt that already holds resources at workers.

        Args:
            spec: The job.
            placement: Where the attempt runs.
            now_ms: Monotonic time.
            running_ms: How long the attempt has run, in ms.
        """
        self._advance_clock(now_ms)
        domain = self._domain
        entry = self._withdraw(spec.job) or self._new_entry(spec, 0.0)
        entry.has_started = True
        domain.place(entry, placement.groups, self._now_ms)
        domain.placed[spec.job].since_ms = self._now_ms - running_ms
        domain.accounts_to_bind.add(spec.account)
        self._changed = True

    def attempt_started(self, job: ids.JobId, now_ms: int) -> None:
        """Records that every task of a placed job has started.

        Args:
            job: The job.
            now_ms: Monotonic time.
        """
        self._advance_clock(now_ms)
        placed = self._domain.placed.get(job)
        if placed is not None:
            placed.entry.has_started = True
            placed.since_ms = self._now_ms

    def attempt_ended(
        self,
        job: ids.JobId,
        attempt_end: decisions.AttemptEnd,
        now_ms: int,
        *,
        culprits: tuple[ids.WorkerId, ...] = (),
        requeue: bool = False,
        progress: float = 0.0,
    ) -> jobs.JobResult | None:
        """Records the end of an attempt and frees its resources.

        Args:
            job: The job.
            attempt_end: How the attempt ended.
            now_ms: Monotonic time.
            culprits: Workers on which it failed or could not start.
            requeue: Whether to put the job back into the queue.
            progress: Fraction of the work that is checkpointed, 0 to 1.

        Returns:
            A final result if the job was to be requeued but must not run again
            because it has failed on several workers or too many times;
            otherwise None.
        """
        self._advance_clock(now_ms)
        self._changed = True
        placed = self._domain.remove(job, self._now_ms)
        if placed is None:
            return None
        attempt_outcomes.record_outcome(
            self._domain, placed, attempt_end, culprits, self._now_ms
        )
        if not requeue:
            return None
        entry = placed.entry
        if attempt_outcomes.failed_everywhere(entry):
            self._domain.quarantine.discard_failures(job)
            return jobs.JobResult(
                code=codes.ResultCode.FAILED_EVERYWHERE,
                detail=", ".join(
                    sorted(entry.failed_workers | entry.lost_workers)
                ),
            )
        entry.progress = min(max(entry.progress, progress), 1.0)
        self._enqueue(entry)
        return None

    def cancel(self, job: ids.JobId) -> bool:
        """Removes a job from the queue, with its pending placement if any.

        Args:
            job: The job.

        Returns:
            Whether the job was queued; a placed job is left as it is.
        """
        if job in self._domain.pending_placements:
            self._domain.cancel_pending(job, self._now_ms, requeue=False)
            self._changed = True
            return True
        if self._domain.queue.remove(job) is None:
            return False
        self._changed = True
        return True

    def would_start(self, spec: jobs.JobSpec, now_ms: int) -> bool:
        """Returns whether a new job would now be placed or evict other work.

        See `start_prediction.would_start`.

        Args:
            spec: The job, not submitted yet.
            now_ms: Monotonic time.
        """
        self._advance_clock(now_ms)
        entry = self._new_entry(spec, 0.0)
        return start_prediction.would_start(self._domain, entry, self._now_ms)

    def decide(self, now_ms: int) -> list[decisions.Decision]:
        """Decides what to place, evict and end now.

        The resources of each `PlaceJob` stay allocated until `attempt_ended`
        is called. Each `EvictJob` is returned once.

        Args:
            now_ms: Monotonic time.

        Returns:
            The decisions, in the order in which to carry them out.
        """
        self._advance_clock(now_ms)
        ended = self._end_expired()
        self._process_wake_ups()
        if not self._changed or not self._domain.in_service:
            return ended
        self._changed = False
        domain = self._domain
        domain.plan_cells()
        guaranteed_placement.bind_placed_jobs(domain)
        return [
            *ended,
            *guaranteed_placement.place_pending(domain, self._now_ms),
            *guaranteed_placement.place(domain, self._now_ms),
            *opportunistic_placement.place(domain, self._now_ms),
        ]

    def queued(self) -> tuple[ids.JobId, ...]:
        """Returns the queued jobs, those with pending placements first."""
        queued_jobs = (entry.spec.job for entry in self._domain.queue)
        return (*self._domain.pending_placements, *queued_jobs)

    def queued_without_placement(self) -> tuple[ids.JobId, ...]:
        """Returns the queued jobs that have no pending placement."""
        return tuple(entry.spec.job for entry in self._domain.queue)

    def revocable(self, job: ids.JobId) -> bool:
        """Returns whether a job is placed and may be evicted for another."""
        return self._domain.revocable(job)

    def quarantined(self) -> tuple[ids.WorkerId, ...]:
        """Returns the workers quarantined for failing distinct jobs."""
        return self._domain.quarantine.quarantined()

    def unplanned_cells(self) -> int:
        """Returns the number of guaranteed gangs that the pool cannot hold."""
        self._domain.plan_cells()
        return len(self._domain.plan.unplanned())

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued jobs cannot use.

        See `fragmentation.unusable_share`.
        """
        queued_gangs: dict[shapes.Shape, int] = {}
        for entry in self._domain.queue:
            queued_gangs[entry.shape] = queued_gangs.get(entry.shape, 0) + 1
        return fragmentation.unusable_share(
            self._domain.pool.free, queued_gangs
        )

    def free_accelerators(self) -> int:
        """Returns the number of unallocated accelerators of usable workers."""
        return self._domain.pool.free.total

    def queued_accelerators(self) -> int:
        """Returns the number of accelerators requested by queued jobs."""
        pending_accelerators = sum(
            pending.entry.shape.accelerators
            for pending in self._domain.pending_placements.values()
        )
        return pending_accelerators + self._domain.queue.accelerators

    def largest_gang(self) -> int:
        """Returns the total number of accelerators of usable workers.

        No gang larger than that can be placed in the failure domain.
        """
        pool = self._domain.pool
        return sum(pool.capacity(worker).accelerators for worker in pool.free)

    def _advance_clock(self, now_ms: int) -> None:
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

    def _is_known(self, job: ids.JobId) -> bool:
        domain = self._domain
        return (
            job in domain.queue
            or job in domain.placed
            or job in domain.pending_placements
        )

    def _new_entry(
        self, spec: jobs.JobSpec, progress: float
    ) -> job_queue.JobEntry:
        return job_queue.JobEntry(
            spec=spec, sequence=next(self._sequence), progress=progress
        )

    def _withdraw(self, job: ids.JobId) -> job_queue.JobEntry | None:
        domain = self._domain
        if job in domain.pending_placements:
            domain.cancel_pending(job, self._now_ms)
        placed = domain.remove(job, self._now_ms)
        return placed.entry if placed else domain.queue.remove(job)

    def _enqueue(self, entry: job_queue.JobEntry) -> None:
        self._changed = True
        promote_at_ms = None
        if entry.spec.deadline_ms is not None:
            run_ms = self._domain.estimator.expected_run_ms(
                entry.spec, entry.progress
            )
            promote_at_ms = entry.spec.deadline_ms - _PROMOTE_RUN_TIMES * run_ms
        self._domain.enqueue(entry, self._now_ms, promote_at_ms)

    def _end_expired(self) -> list[decisions.EndJob]:
        wall_ms = self._wall_ms()
        if wall_ms is None:
            return []
        if self._domain.queue.promote_near_deadline(wall_ms):
            self._changed = True
        expired = self._domain.queue.pop_expired(wall_ms)
        if expired:
            self._changed = True
        return [
            decisions.EndJob(
                job=entry.spec.job,
                result=attempt_outcomes.deadline_result(entry),
            )
            for entry in expired
        ]

    def _process_wake_ups(self) -> None:
        wake_up_times_ms = self._domain.wake_up_times_ms
        while wake_up_times_ms and wake_up_times_ms[0] <= self._now_ms:
            heapq.heappop(wake_up_times_ms)
            self._changed = True
        for worker in self._domain.quarantine.start_due_probes(self._now_ms):
            self._changed = True
            self._domain.refresh_worker(worker, self._now_ms)
