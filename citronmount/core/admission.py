"""Checks of a new job before it is queued."""

from citronmount.core import codes
from citronmount.core import domain_state
from citronmount.core import jobs
from citronmount.core import placement
from citronmount.core import pool
from citronmount.core import shapes

__all__ = ["ACCOUNT_QUEUE_LIMIT", "DOMAIN_QUEUE_LIMIT", "Admission"]

ACCOUNT_QUEUE_LIMIT = 2_000
DOMAIN_QUEUE_LIMIT = 20_000
_ACCOUNT_QUEUE_FLOOR = 64


class Admission:
    """Refuses jobs that can never run, or cannot be queued now."""

    def __init__(self, *, domain: domain_state.DomainState) -> None:
        """Initializes the checks of one failure domain."""
        self._domain = domain
        self._empty = pool.RoomIndex()
        self._holds: dict[shapes.Shape, bool] = {}

    def refresh(self) -> None:
        """Notes that workers or capacities have changed."""
        listed = self._domain.pool
        self._empty = pool.RoomIndex()
        for worker in listed.workers():
            self._empty.put(
                worker, listed.rack(worker), listed.capacity(worker)
            )
        self._holds = {}

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
        amounts = (
            spec.per_task.accelerators,
            spec.per_task.cores,
            spec.per_task.memory_gb,
        )
        if spec.tasks < 1 or min(amounts) < 0 or not any(amounts):
            return _refusal(
                codes.ResultCode.INVALID_REQUEST,
                "tasks and resources of a task must be positive",
            )
        return None

    def _check_size(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        shape = shapes.of_job(spec)
        if not self._could_hold(shape):
            return _refusal(
                codes.ResultCode.NEVER_FITS,
                f"{spec.tasks} tasks in one {spec.adjacency.value}",
            )
        if not self._domain.is_trial(spec.account):
            return None
        allowed = self._domain.allowance(spec.account)
        if shape.accelerators > allowed:
            return _refusal(
                codes.ResultCode.OVER_ALLOWANCE,
                f"{shape.accelerators} accelerators asked, "
                f"{allowed} allowed in this failure domain",
            )
        return None

    def _check_deadline(
        self, spec: jobs.JobSpec, wall_ms: int | None
    ) -> jobs.JobResult | None:
        if spec.deadline_ms is None or wall_ms is None:
            return None
        left_ms = spec.deadline_ms - wall_ms
        if left_ms <= 0:
            return _refusal(
                codes.ResultCode.DEADLINE_PASSED, f"{-left_ms} ms ago"
            )
        if spec.run_time_s * 1000 > left_ms:
            return _refusal(
                codes.ResultCode.DECLARED_TIME_TOO_LONG,
                f"{spec.run_time_s} s declared, {left_ms} ms left",
            )
        return None

    def _check_queue(self, spec: jobs.JobSpec) -> jobs.JobResult | None:
        queue = self._domain.queue
        size = queue.size(spec.account)
        full = len(queue) >= DOMAIN_QUEUE_LIMIT
        limit = _ACCOUNT_QUEUE_FLOOR if full else ACCOUNT_QUEUE_LIMIT
        if size < limit:
            return None
        return _refusal(
            codes.ResultCode.QUEUE_FULL, f"{size} jobs of the account wait"
        )

    def _could_hold(self, shape: shapes.Shape) -> bool:
        if not any(True for _ in self._empty):
            return True
        if shape not in self._holds:
            groups = placement.find(self._empty, shape, key=placement.first_fit)
            self._holds[shape] = groups is not None
        return self._holds[shape]


def _refusal(code: codes.ResultCode, detail: str) -> jobs.JobResult:
    return jobs.JobResult(code=code, detail=detail)
