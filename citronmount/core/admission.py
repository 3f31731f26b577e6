"""Checks of a new job before it is queued."""

from citronmount.core import codes
from citronmount.core import domain_state
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import pool
from citronmount.core import shapes

__all__ = ["ACCOUNT_QUEUE_LIMIT_JOBS", "DOMAIN_QUEUE_LIMIT_JOBS", "Admission"]

ACCOUNT_QUEUE_LIMIT_JOBS = 2_000
DOMAIN_QUEUE_LIMIT_JOBS = 20_000
_FULL_DOMAIN_ACCOUNT_LIMIT_JOBS = 64


class Admission:
    """Refuses jobs that can never run, or cannot be queued now."""

    def __init__(self, *, domain: domain_state.DomainState) -> None:
        """Initializes the checks of one failure domain."""
        self._domain = domain
        self._total_capacity = pool.CapacityIndex()
        self._fits_when_empty: dict[shapes.Shape, bool] = {}

    def refresh(self) -> None:
        """Notes that workers or capacities have changed."""
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
        """Checks a new job.

        Args:
            spec: The job.
            wall_ms: Wall-clock time, if known.

        Returns:
            None if it may be queued, otherwise why not.
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
                "tasks and resources of a task must be positive",
            )
        return None

    def _check_size(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        shape = shapes.of_job(spec)
        if not self._could_ever_fit(shape):
            return _refusal(
                codes.ResultCode.NEVER_FITS,
                f"{spec.tasks} tasks in one {spec.adjacency.value}",
            )
        if not self._domain.is_trial(spec.account):
            return None
        allowed_accelerators = self._domain.allowance(spec.account)
        if shape.accelerators > allowed_accelerators:
            return _refusal(
                codes.ResultCode.OVER_ALLOWANCE,
                f"{shape.accelerators} accelerators asked, "
                f"{allowed_accelerators} allowed in this failure domain",
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
                codes.ResultCode.DEADLINE_PASSED, f"{-remaining_ms} ms ago"
            )
        if spec.run_time_s * 1000 > remaining_ms:
            return _refusal(
                codes.ResultCode.DECLARED_TIME_TOO_LONG,
                f"{spec.run_time_s} s declared, {remaining_ms} ms left",
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
            codes.ResultCode.QUEUE_FULL, f"{size} jobs of the account wait"
        )

    def _could_ever_fit(self, shape: shapes.Shape) -> bool:
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
