"""Events of a job replay and the state of each replayed job."""

import msgspec

from citronmount.bench import workload
from citronmount.config import configuration as configuration_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs

__all__ = [
    "ApplyConfiguration",
    "BreakWorker",
    "Cancel",
    "EnvironmentChange",
    "Finish",
    "FinishEviction",
    "JobReplay",
    "MoveQueuedJobs",
    "PowerDownDomain",
    "RepairWorker",
    "SampleFragmentation",
    "StartGang",
    "Submit",
    "Tick",
]

CHECKPOINT_PERIOD_S = 600.0


class ApplyConfiguration(msgspec.Struct, frozen=True, kw_only=True):
    """Every scheduler adopts a new version of the configuration.

    Attributes:
        configuration: The new version.
    """

    configuration: configuration_lib.Configuration


class PowerDownDomain(msgspec.Struct, frozen=True, kw_only=True):
    """All placed jobs of a failure domain write a checkpoint and stop.

    Jobs that are already being evicted are left alone. The failure domain
    stays in service, so jobs can start in it afterwards; `ApplyConfiguration`
    takes it out of service.

    Attributes:
        domain: The failure domain.
    """

    domain: ids.FailureDomainId


class BreakWorker(msgspec.Struct, frozen=True, kw_only=True):
    """From now on, every task started on a worker fails.

    Attributes:
        worker: The worker.
    """

    worker: ids.WorkerId


class RepairWorker(msgspec.Struct, frozen=True, kw_only=True):
    """A broken worker starts tasks successfully again.

    Attributes:
        worker: The worker.
    """

    worker: ids.WorkerId


EnvironmentChange = (
    ApplyConfiguration | PowerDownDomain | BreakWorker | RepairWorker
)


class Submit(msgspec.Struct, frozen=True, kw_only=True):
    """A job is submitted for the first time or after a refusal.

    Attributes:
        number: Index of the job in the trace.
    """

    number: int


class Cancel(msgspec.Struct, frozen=True, kw_only=True):
    """The caller cancels a job.

    Attributes:
        number: Index of the job in the trace.
    """

    number: int


class _AttemptEvent(msgspec.Struct, frozen=True, kw_only=True):
    """An event of one attempt to run a job.

    Attributes:
        number: Index of the job in the trace.
        attempt: Number of the attempt; the event is ignored if the job has
            been placed again since.
    """

    number: int
    attempt: int


class StartGang(_AttemptEvent, frozen=True, kw_only=True):
    """All tasks of a placed gang begin to run, or fail to start."""


class Finish(_AttemptEvent, frozen=True, kw_only=True):
    """A job completes its work."""


class FinishEviction(_AttemptEvent, frozen=True, kw_only=True):
    """A job that is being evicted stops.

    Attributes:
        progress: Share of the job's work that is checkpointed.
    """

    progress: float


class Tick(msgspec.Struct, frozen=True, kw_only=True):
    """A scheduler that has queued jobs decides periodically.

    Attributes:
        domain: The scheduler's failure domain.
    """

    domain: ids.FailureDomainId


class MoveQueuedJobs(msgspec.Struct, frozen=True, kw_only=True):
    """Queued jobs are moved to failure domains that can start them."""


class SampleFragmentation(msgspec.Struct, frozen=True, kw_only=True):
    """Fragmentation of every failure domain in service is sampled."""


class JobReplay(msgspec.Struct, kw_only=True):
    """State of one job during a replay.

    Attributes:
        job: The job in the trace.
        spec: Specification as last submitted, with the id that it got when
            it was routed.
        domain: Current failure domain.
        placement: Placement that the job holds, if any.
        first_start_ms: When all tasks first ran.
        started_ms: When the current attempt started.
        ended_ms: When the job ended.
        code: Final result.
        attempts: Number of placements.
        evictions: Number of evictions that reclaimed its capacity.
        moves: Number of moves to another failure domain while queued.
        progress: Share of the work that is checkpointed.
        evicting: Whether the job is being stopped.
        waited_reclaim: Whether other jobs were evicted to start this one.
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
        """Returns the share of the work that is done.

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
        """Returns the share of the work in the last periodic checkpoint.

        Args:
            now_ms: The time.

        Returns:
            A share between 0 and 1.
        """
        if self.started_ms is None:
            return self.progress
        ran_s = (now_ms - self.started_ms) / 1_000
        saved_s = ran_s // CHECKPOINT_PERIOD_S * CHECKPOINT_PERIOD_S
        return min(1.0, self.progress + saved_s / self.job.true_run_s)
