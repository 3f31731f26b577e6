"""Typed specification of a multi-step job."""

import typing

import msgspec

from citronmount.core import ids

__all__ = [
    "Demand",
    "QueueName",
    "QueueTerms",
    "ServiceName",
    "Step",
    "Submission",
    "Workflow",
]

QueueName = typing.NewType("QueueName", str)
ServiceName = typing.NewType("ServiceName", str)


class Demand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Resources of one task, or the capacity of one worker.

    Attributes:
        millicores: Thousandths of a processor core.
        memory_mb: Memory in megabytes.
        accelerators: Number of whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A group of identical tasks within a job.

    Attributes:
        tasks: Number of tasks.
        demand: Resources that each task needs.
        estimate_ms: Estimated run time of a task.
        after: Indices of earlier steps that must be done first.
        gang: Whether the tasks must run simultaneously (gang scheduling).
        one_rack: Whether the tasks slow down when spread over several racks.
        worker_label: Label that a worker must have, or empty.
        data_rack: Rack that holds the input data, or empty.
        max_tasks_per_worker: Maximum number of tasks of one occurrence of the
            step on one worker, or 0 for no limit.
        checkpoints: Whether tasks save checkpoints.
        speculative: Whether several copies of a task may run at the same time.
        lasting: Whether tasks run until the job is cancelled.
        image: Program that the tasks run; tasks of one image behave alike.
        goal_ms: Upper bound on the tail latency of a serving task, or 0 if
            the task does not serve requests.
        fills: Whether the tasks use only processor time that others leave idle.
        max_unavailable: Maximum number of lasting tasks of the step that the
            scheduler may keep unavailable at the same time, or 0 for no limit.
    """

    tasks: int
    demand: Demand = Demand()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    one_rack: bool = False
    worker_label: str = ""
    data_rack: str = ""
    max_tasks_per_worker: int = 0
    checkpoints: bool = False
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    goal_ms: int = 0
    fills: bool = False
    max_unavailable: int = 0


class Workflow(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as submitted by a caller.

    Attributes:
        job: Job id, chosen by the caller.
        payload: Passed to every task; opaque to the scheduler.
        steps: The steps; a step depends only on earlier steps.
        occurrences: Number of scheduled occurrences of all steps, or 0 to run
            them once and immediately.
        first_due_ms: Unix time of the first occurrence in milliseconds.
        interval_ms: Time between occurrences in milliseconds.
    """

    job: ids.JobId
    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """Number of times the steps run, at least 1."""
        return max(self.occurrences, 1)

    def due_ms(self, occurrence: int) -> int | None:
        """Returns the Unix time from which an occurrence may start.

        Args:
            occurrence: Index of the occurrence, counted from 0.

        Returns:
            Milliseconds, or None if the occurrence may start immediately.
        """
        if not self.occurrences:
            return None
        return self.first_due_ms + occurrence * self.interval_ms


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """Scheduling terms of a queue's jobs.

    Attributes:
        queue: The queue.
        service: Service whose workers run the tasks.
        priority: Priority class; 0 is the highest and may preempt others.
        max_attempts: Number of failed runs after which a unit (a gang or a
            single task) has failed permanently; lasting units never do.
        slack_factor: Completion time objective as a multiple of the job's
            critical path.
        objective_ms: Fixed allowance of the objective in milliseconds, added
            to that multiple.
        needs_advice: Whether a worker needs a ticket from the queue's policy
            before it may run a step.
    """

    queue: QueueName
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    objective_ms: int = 0
    needs_advice: bool = False


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted job with the queue terms in force at its acceptance.

    Attributes:
        workflow: The job.
        account: Client account, or empty on a public queue.
        terms: Terms of the job's queue.
        accepted_ms: Unix time of acceptance in milliseconds.
    """

    workflow: Workflow
    account: ids.AccountId
    terms: QueueTerms
    accepted_ms: int
