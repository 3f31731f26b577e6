"""Typed description of a job that consists of steps."""

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
        accelerators: Whole accelerators.
    """

    millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Tasks of a job that are described alike.

    Attributes:
        tasks: How many tasks the step has.
        demand: What each task needs.
        estimate_ms: Rough run time of a task.
        after: Numbers of earlier steps that must be done first.
        gang: Whether the tasks work only all together.
        one_rack: Whether the tasks slow down when spread over racks.
        worker_label: A label that the worker must have, or empty.
        data_rack: The rack with the data, or empty.
        max_tasks_per_worker: Most tasks of one occurrence of the step on one
            worker, or 0 for no limit.
        checkpoints: Whether tasks save their progress.
        speculative: Whether copies of a task may run at the same time.
        lasting: Whether tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        goal_ms: Bound on the tail of the response times of a serving task, or
            0 if the task serves nobody.
        fills: Whether the tasks run on processor time left over by others.
        max_unavailable: How many lasting tasks of the step may be away at the
            same time because of the scheduler.
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
    """What a caller submits.

    Attributes:
        job: The id, chosen by the caller.
        payload: Handed to every task, opaque to the scheduler.
        steps: The steps; a step only depends on earlier ones.
        occurrences: How often all steps run at set times, or 0 to run them
            once, at once.
        first_due_ms: Unix time of the first occurrence in milliseconds.
        interval_ms: Time between occurrences.
    """

    job: ids.JobId
    payload: str
    steps: tuple[Step, ...]
    occurrences: int = 0
    first_due_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrence_count(self) -> int:
        """How often the steps run in all."""
        return max(self.occurrences, 1)

    def due_ms(self, occurrence: int) -> int | None:
        """Returns the Unix time at which an occurrence may start.

        Args:
            occurrence: Its number, counted from 0.

        Returns:
            Milliseconds, or None if it may start at once.
        """
        if not self.occurrences:
            return None
        return self.first_due_ms + occurrence * self.interval_ms


class QueueTerms(msgspec.Struct, frozen=True, kw_only=True):
    """How a queue's jobs are to be run.

    Attributes:
        queue: The queue.
        service: The service whose workers run the tasks.
        priority: 0 comes first and may preempt others.
        max_attempts: Failed runs after which a task has failed for good.
        slack_factor: Objective as a multiple of the longest chain of work.
        objective_ms: What the objective allows beyond that.
        needs_advice: Whether each worker needs a ticket for the step.
    """

    queue: QueueName
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    objective_ms: int = 0
    needs_advice: bool = False


class Submission(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted job with the terms in force when it came.

    Attributes:
        workflow: The job.
        account: The client account, or empty on a public queue.
        terms: The terms of its queue.
        accepted_ms: Unix time of acceptance in milliseconds.
    """

    workflow: Workflow
    account: ids.AccountId
    terms: QueueTerms
    accepted_ms: int
