"""Estimates run times from declared ones and the account's past jobs."""

import math

from citronmount.core import ids
from citronmount.core import jobs

__all__ = ["Estimator"]

_SMOOTHING_FACTOR = 0.2
_MAX_LOG2_CORRECTION = 3.0
_OVERRUN_FRACTION = 0.25


class Estimator:
    """Estimates run times by exponential smoothing, per account.

    The smoothed value is the logarithm of the ratio of actual to declared run
    time. The correction is limited to a factor of eight in both directions, so
    that past jobs cannot push an account's estimates toward infinity or zero.
    """

    def __init__(self) -> None:
        """Initializes an estimator that returns declared run times."""
        self._log2_ratio: dict[ids.AccountId, float] = {}

    def expected_run_ms(self, spec: jobs.JobSpec, progress: float = 0.0) -> int:
        """Estimates how long a job runs after its last checkpoint.

        Args:
            spec: Job.
            progress: Fraction of the work that is checkpointed, 0 to 1.

        Returns:
            Run time in milliseconds, at least 1.
        """
        ratio = 2.0 ** self._log2_ratio.get(spec.account, 0.0)
        full_run_ms = max(spec.run_time_s, 0.0) * 1000 * ratio
        return max(1, int(full_run_ms * (1 - min(max(progress, 0.0), 1.0))))

    def remaining_ms(
        self, spec: jobs.JobSpec, progress: float, elapsed_ms: int
    ) -> int:
        """Estimates the remaining run time of a running job.

        The result is at least 25% of the elapsed time, because a job that has
        run for longer than its estimate, or is close to it, is expected to run
        on for a fraction of that time.

        Args:
            spec: Job.
            progress: Fraction of the work that was checkpointed at the start
                of the attempt.
            elapsed_ms: Time since the start of the attempt.

        Returns:
            Remaining time in milliseconds, at least 1.
        """
        remaining_ms = self.expected_run_ms(spec, progress) - elapsed_ms
        return max(1, remaining_ms, int(elapsed_ms * _OVERRUN_FRACTION))

    def observe(self, spec: jobs.JobSpec, progress: float, run_ms: int) -> None:
        """Updates the estimate from a job that ran to completion.

        Args:
            spec: Job.
            progress: Fraction of the work that was checkpointed at the start
                of the attempt.
            run_ms: Run time of the attempt.
        """
        declared_ms = spec.run_time_s * 1000 * (1 - progress)
        if declared_ms <= 0 or run_ms <= 0:
            return
        log2_ratio = _clamp(math.log2(run_ms / declared_ms))
        previous = self._log2_ratio.get(spec.account, 0.0)
        change = _SMOOTHING_FACTOR * (log2_ratio - previous)
        self._log2_ratio[spec.account] = _clamp(previous + change)


def _clamp(log2_ratio: float) -> float:
    return min(max(log2_ratio, -_MAX_LOG2_CORRECTION), _MAX_LOG2_CORRECTION)
