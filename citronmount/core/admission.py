"""Admission control: validates a new job before it is queued."""

from citronmount.core import codes
from citronmount.core import domain_state
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import pool
from citronmount.core import shapes

__all__ = ["ACCOUNT_QUEUE_LIMIT_JOBS", "DOMAIN_QUEUE_LIMIT_JOBS", "Admission"]

ACCOUNT_QUEUE_LIMIT_JOBS = 2_000
DOMAIN_QUEUE_LIMIT_JOBS = 20_000
# Limit of each account while the queue of the failure domain is full.
_FULL_DOMAIN_ACCOUNT_LIMIT_JOBS = 64


class Admission:
    """Refuses jobs that can never run or for which the queue is full."""

    def __init__(self, *, domain: domain_state.DomainState) -> None:
        """Initializes admission control of one failure domain.

        Args:
            domain: State of the failure domain.
        """
        self._domain = domain
        self._total_capacity = pool.CapacityIndex()
        self._fits_when_empty: dict[shapes.Shape, bool] = {}

    def refresh(self) -> None:
        """Rebuilds the capacity index after a change to the worker list."""
        domain_pool = self._domain.pool
        self._total_capacity = pool.CapacityIndex()
        for worker in domain_pool.workers():
            self._total_capacity.put(
                worker, domain_pool.rack(worker), domain_pool.capacity(worker)
            )
        self._fits_when_empty = {}

    def check(
        self, spec: jobs.JobSpec, wall_ms: int | None
    ) -> jobs.JobResult | None:
        """Validates a new job.

        Args:
            spec: The job.
            wall_ms: Unix time in ms, or None if it is not known; deadlines
                are then not checked.

        Returns:
            None if the job may be queued, otherwise the refusal.
        """
        return (
            self._check_fields(spec)
            or self._check_size(spec)
            or self._check_deadline(spec, wall_ms)
            or self._check_queue(spec)
        )

    def _check_fields(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        if self._domain.account_class(spec.account) is None:
            return _refusal(codes.ResultCode.UNKNOWN_ACCOUNT, spec.account)
        amounts_per_task = (
            spec.per_task.accelerators,
            spec.per_task.cores,
            spec.per_task.memory_gb,
        )
        if (
            spec.tasks < 1
            or min(amounts_per_task) < 0
            or not any(amounts_per_task)
        ):
            return _refusal(
                codes.ResultCode.INVALID_REQUEST,
                "tasks must be at least 1; the resources of a task must be "
                "non-negative and not all 0",
            )
        return None

    def _check_size(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        shape = shapes.of_job(spec)
        if not self._could_ever_fit(shape):
            return _refusal(
                codes.ResultCode.NEVER_FITS,
                f"no {spec.adjacency.value} has the capacity for "
                f"{spec.tasks} tasks at once",
            )
        if not self._domain.is_trial(spec.account):
            return None
        allowed_accelerators = self._domain.allowance(spec.account)
        if shape.accelerators > allowed_accelerators:
            return _refusal(
                codes.ResultCode.OVER_ALLOWANCE,
                f"the job requests {shape.accelerators} accelerators; the "
                f"account's allowance in this failure domain is "
                f"{allowed_accelerators}",
            )
        return None

    def _check_deadline(
        self, spec: jobs.JobSpec, wall_ms: int | None
    ) -> jobs.JobResult | None:
        if spec.deadline_ms is None or wall_ms is None:
            return None
        remaining_ms = spec.deadline_ms - wall_ms
        if remaining_ms <= 0:
            return _refusal(
                codes.ResultCode.DEADLINE_PASSED,
                f"the deadline passed {-remaining_ms} ms ago",
            )
        if spec.run_time_s * 1000 > remaining_ms:
            return _refusal(
                codes.ResultCode.DECLARED_TIME_TOO_LONG,
                f"the declared run time is {spec.run_time_s} s; the deadline "
                f"is in {remaining_ms} ms",
            )
        return None

    def _check_queue(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        queue = self._domain.queue
        size = queue.size(spec.account)
        full = len(queue) >= DOMAIN_QUEUE_LIMIT_JOBS
        limit = (
            _FULL_DOMAIN_ACCOUNT_LIMIT_JOBS
            if full
            else ACCOUNT_QUEUE_LIMIT_JOBS
        )
        if size < limit:
            return None
        return _refusal(
            codes.ResultCode.QUEUE_FULL,
            f"the account has {size} queued jobs; the limit is {limit}",
        )

    def _could_ever_fit(self, shape: shapes.Shape) -> bool:
        # No job is refused for its size before the first list of workers.
        if not any(True for _ in self._total_capacity):
            return True
        if shape not in self._fits_when_empty:
            groups = placement.find(
                self._total_capacity, shape, key=placement.first_fit
            )
            self._fits_when_empty[shape] = groups is not None
        return self._fits_when_empty[shape]


def _refusal(code: codes.ResultCode, detail: str) -> jobs.JobResult:
    return jobs.JobResult(code=code, detail=detail)
