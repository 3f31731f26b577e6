"""Corrects declared run times by what an account's jobs really took."""

import math

from citronmount.core import ids
from citronmount.core import jobs

__all__ = ["Estimator"]

_WEIGHT_OF_NEWEST = 0.2
_MAX_LOG2_CORRECTION = 3.0
_OVERRUN_SHARE = 0.25


class Estimator:
    """Expected run times, by a moving mean of log ratios for each account.

    The correction is bounded to a factor of eight both ways, so that no
    history makes an account's jobs look endless or free.
    """

    def __init__(self) -> None:
        """Initializes an estimator that believes every declaration."""
        self._log2_ratio: dict[ids.AccountId, float] = {}

    def expected_run_ms(self, spec: jobs.JobSpec, progress: float = 0.0) -> int:
        """Returns the expected run time of a job from a saved state.

        Args:
            spec: The job.
            progress: Saved share of its work, between 0 and 1.

        Returns:
            Milliseconds, at least 1.
        """
        ratio = 2.0 ** self._log2_ratio.get(spec.account, 0.0)
        whole_ms = max(spec.run_time_s, 0.0) * 1000 * ratio
        return max(1, int(whole_ms * (1 - min(max(progress, 0.0), 1.0))))

    def remaining_ms(
        self, spec: jobs.JobSpec, progress: float, ran_ms: int
    ) -> int:
        """Returns how long a running job is expected to go on.

        A job that has overrun is expected to go on for a share of the time
        that it has run.

        Args:
            spec: The job.
            progress: Saved share of its work when it started.
            ran_ms: How long it has run since.

        Returns:
            Milliseconds, at least 1.
        """
        left_ms = self.expected_run_ms(spec, progress) - ran_ms
        return max(1, left_ms, int(ran_ms * _OVERRUN_SHARE))

    def observe(
        self, spec: jobs.JobSpec, progress: float, took_ms: int
    ) -> None:
        """Learns from a job that ran to its end.

        Args:
            spec: The job.
            progress: Saved share of its work when it started.
            took_ms: How long it then ran.
        """
        declared_ms = spec.run_time_s * 1000 * (1 - progress)
        if declared_ms <= 0 or took_ms <= 0:
            return
        log2_ratio = _bounded(math.log2(took_ms / declared_ms))
        before = self._log2_ratio.get(spec.account, 0.0)
        change = _WEIGHT_OF_NEWEST * (log2_ratio - before)
        self._log2_ratio[spec.account] = _bounded(before + change)


def _bounded(log2_ratio: float) -> float:
    return min(max(log2_ratio, -_MAX_LOG2_CORRECTION), _MAX_LOG2_CORRECTION)
