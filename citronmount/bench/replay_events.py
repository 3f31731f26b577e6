"""Events of a replay and the trace that each job leaves."""

import msgspec

from citronmount.bench import workload
from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs

__all__ = [
    "SubmitJob",
    "BreakWorker",
    "CancelJob",
    "EnvironmentChange",
    "ApplyConfiguration",
    "StopEvictedJob",
    "FinishJob",
    "RepairWorker",
    "ReplayedJob",
    "MoveQueuedJobs",
    "PowerDownDomain",
    "StartGang",
    "SampleFragmentation",
    "Tick",
]

PERIODIC_CHECKPOINT_S = 600.0


class ApplyConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration comes into force at every scheduler.

    Attributes:
        configuration: The new version.
    """

    configuration: configuration_lib.Configuration


class PowerDownDomain(msgspec.Struct, frozen=True, kw_only=True):
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


class RepairWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A worker starts tasks properly again.

    Attributes:
        worker: The worker.
    """

    worker: ids.WorkerId


EnvironmentChange = (
    ApplyConfiguration | PowerDownDomain | BreakWorker | RepairWorker
)


class SubmitJob(msgspec.Struct, frozen=True, kw_only=True):
    """A job is submitted, or submitted again.

    Attributes:
        number: Index of the job in the trace.
    """

    number: int


class CancelJob(msgspec.Struct, frozen=True, kw_only=True):
    """Its caller cancels a job.

    Attributes:
        number: Index of the job in the trace.
    """

    number: int


class _AttemptEvent(msgspec.Struct, frozen=True, kw_only=True):
    """What happens to one placement of a job.

    Attributes:
        number: Index of the job in the trace.
        attempt: The placement that it belongs to.
    """

    number: int
    attempt: int


class StartGang(_AttemptEvent, frozen=True, kw_only=True):
    """All tasks of a placement are ready to run."""


class FinishJob(_AttemptEvent, frozen=True, kw_only=True):
    """A job has done its work."""


class StopEvictedJob(_AttemptEvent, frozen=True, kw_only=True):
    """A job that was told to stop has saved its work and stopped.

    Attributes:
        progress: Share of its work that is saved.
    """

    progress: float


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """A scheduler with queued jobs decides again.

    Attributes:
        domain: The scheduler's failure domain.
    """

    domain: ids.FailureDomainId


class MoveQueuedJobs(msgspec.Struct, frozen=True, kw_only=True):
    """Queued jobs look for another failure domain."""


class SampleFragmentation(msgspec.Struct, frozen=True, kw_only=True):
    """Fragmentation is sampled."""


class ReplayedJob(msgspec.Struct, kw_only=True):
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
    domain: ids.FailureDomainId = workload.UNROUTED_DOMAIN
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
