"""The scheduler of one failure domain: which job runs where, and when."""

import collections

from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.platform import messages

__all__ = ["DomainScheduler"]


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
        self._configuration = configuration_lib.Configuration()
        self._workers: dict[ids.WorkerId, messages.ListedTarget] = {}
        self._states: dict[ids.WorkerId, states.TargetState] = {}
        self._free: dict[ids.WorkerId, jobs.Resources] = {}
        self._queue: collections.OrderedDict[ids.JobId, jobs.JobSpec] = (
            collections.OrderedDict()
        )
        self._placed: dict[ids.JobId, tuple[jobs.JobSpec, jobs.Placement]] = {}

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes over a new version of the configuration.

        Args:
            configuration: The version in force.
        """
        self._configuration = configuration

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the list of workers of the failure domain.

        Workers that are no longer listed keep their jobs until these end but
        get no new ones.

        Args:
            workers: The workers, with capacity and rack.
        """
        for worker in workers:
            name = ids.WorkerId(worker.name)
            if name not in self._workers:
                self._free[name] = worker.capacity
            self._workers[name] = worker
            self._states[name] = worker.state

    def set_worker_state(
        self, worker: ids.WorkerId, state: states.TargetState, now_ms: int
    ) -> None:
        """Notes whether a worker may get new tasks.

        Args:
            worker: The worker.
            state: Only UP lets new tasks be placed.
            now_ms: Monotonic time.
        """
        self._states[worker] = state

    def submit(self, spec: jobs.JobSpec, now_ms: int) -> jobs.JobResult | None:
        """Checks a new job and queues it.

        Args:
            spec: The job.
            now_ms: Monotonic time.

        Returns:
            None if the job is queued, otherwise why it can never run or
            cannot be queued now. A refusal changes nothing.
        """
        accounts = {a.name for a in self._configuration.accounts}
        if spec.account not in accounts:
            return jobs.JobResult(code=codes.ResultCode.UNKNOWN_ACCOUNT)
        self._queue[spec.job] = spec
        return None

    def restore(
        self, spec: jobs.JobSpec, now_ms: int, *, progress: float = 0.0
    ) -> None:
        """Queues a job that was accepted before, without any check.

        Args:
            spec: The job.
            now_ms: Monotonic time.
            progress: Saved share of its work, between 0 and 1.
        """
        self._queue[spec.job] = spec

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
        self._queue.pop(spec.job, None)
        self._placed[spec.job] = (spec, placement)
        self._take(spec, placement, 1)

    def started(self, job: ids.JobId, now_ms: int) -> None:
        """Notes that every task of a placed job has started.

        Args:
            job: The job.
            now_ms: Monotonic time.
        """

    def ended(
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
        spec, placement = self._placed.pop(job)
        self._take(spec, placement, -1)
        if requeue:
            self._queue[job] = spec
        return None

    def cancel(self, job: ids.JobId) -> bool:
        """Removes a job from the queue.

        Args:
            job: The job.

        Returns:
            Whether it was queued; a placed job is not touched.
        """
        return self._queue.pop(job, None) is not None

    def decide(self, now_ms: int) -> list[decisions.Decision]:
        """Returns what to do now.

        Room for every `PlaceJob` is set aside until `ended` is called; every
        `EvictJob` is returned once.

        Args:
            now_ms: Monotonic time.

        Returns:
            The decisions, in the order in which to carry them out.
        """
        if not self._in_service():
            return []
        return [
            decision
            for spec in list(self._queue.values())
            if (decision := self._try_place(spec)) is not None
        ]

    def queued(self) -> tuple[ids.JobId, ...]:
        """Returns the queued jobs, first in line first."""
        return tuple(self._queue)

    def free_accelerators(self) -> int:
        """Returns how many accelerators of usable workers no job holds."""
        return sum(
            free.accelerators
            for worker, free in self._free.items()
            if self._states[worker] is states.TargetState.UP
        )

    def queued_accelerators(self) -> int:
        """Returns how many accelerators the queued jobs ask for."""
        return sum(spec.accelerators for spec in self._queue.values())

    def largest_gang(self) -> int:
        """Returns the accelerators of the failure domain's usable workers."""
        return sum(
            worker.capacity.accelerators
            for name, worker in self._workers.items()
            if self._states[name] is states.TargetState.UP
        )

    def _in_service(self) -> bool:
        return any(
            domain.name == self.failure_domain
            and domain.state is states.FailureDomainState.IN
            for domain in self._configuration.failure_domains
        )

    def _try_place(self, spec: jobs.JobSpec) -> decisions.PlaceJob | None:
        groups = []
        left = spec.tasks
        for worker, free in self._free.items():
            if self._states[worker] is not states.TargetState.UP:
                continue
            tasks = min(left, _tasks_that_fit(free, spec.per_task))
            if tasks:
                groups.append(jobs.TaskGroup(worker=worker, tasks=tasks))
                left -= tasks
            if not left:
                break
        if left:
            return None
        placement = jobs.Placement(groups=tuple(groups))
        del self._queue[spec.job]
        self._placed[spec.job] = (spec, placement)
        self._take(spec, placement, 1)
        return decisions.PlaceJob(job=spec.job, placement=placement)

    def _take(
        self, spec: jobs.JobSpec, placement: jobs.Placement, sign: int
    ) -> None:
        for group in placement.groups:
            free = self._free.get(group.worker, jobs.Resources())
            amount = sign * group.tasks
            self._free[group.worker] = jobs.Resources(
                accelerators=free.accelerators
                - amount * spec.per_task.accelerators,
                cores=free.cores - amount * spec.per_task.cores,
                memory_gb=free.memory_gb - amount * spec.per_task.memory_gb,
            )


def _tasks_that_fit(free: jobs.Resources, per_task: jobs.Resources) -> int:
    pairs = (
        (free.accelerators, per_task.accelerators),
        (free.cores, per_task.cores),
        (free.memory_gb, per_task.memory_gb),
    )
    return min((have // need for have, need in pairs if need), default=1)
