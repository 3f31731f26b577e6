"""Records the learned run times of an owner and restores those of the last."""

from collections.abc import Mapping

from citronmount.fleet import owner_state
from citronmount.workflow import records

__all__ = ["RunTimeRecorder"]

RECORD_PERIOD_MS = 5_000
MAX_RECORDED_KEYS = 64
# Of a mean logarithm, in thousandths.
MIN_MEAN_CHANGE = 100
MIN_WEIGHT_GROWTH_FACTOR = 2
FORMAT_VERSION = 1


class RunTimeRecorder:
    """Keeps the record of the learned run times up to date."""

    def __init__(self, *, state: owner_state.OwnerState, now_ms: int) -> None:
        """Restores the run times that the job view holds.

        Args:
            state: State shared by the parts of the owner, without runs.
            now_ms: Monotonic time in milliseconds.
        """
        self._state = state
        self._enabled = state.estimates.enabled
        self._next_record_ms = now_ms + RECORD_PERIOD_MS
        self._recorded: Mapping[str, tuple[int, ...]] = {}
        self._unlogged = state.job_view.run_times if self._enabled else None
        self._restored_count = 0
        record = self._unlogged
        if record is not None and record.version == FORMAT_VERSION:
            self._restored_count = state.estimates.run_times.restore(
                record.estimates
            )
            self._recorded = record.estimates

    def step(self, now_ms: int, wall_ms: int) -> None:
        """Queues a record of the run times if one is due and they changed.

        A record that the log has not taken yet is not followed by another.

        Args:
            now_ms: Monotonic time in milliseconds.
            wall_ms: Unix time in milliseconds.
        """
        if self._unlogged is not None:
            self._log_restored(self._unlogged, wall_ms)
            self._unlogged = None
        if not self._enabled or now_ms < self._next_record_ms:
            return
        self._next_record_ms = now_ms + RECORD_PERIOD_MS
        pending = (entry.key for entry in self._state.entries)
        if records.RUN_TIMES_KEY in pending:
            return
        learned = self._state.estimates.run_times
        estimates = learned.snapshot(MAX_RECORDED_KEYS)
        if not _has_changed(estimates, self._recorded):
            return
        self._recorded = estimates
        self._state.append_record(
            records.RunTimesLearned(
                version=FORMAT_VERSION,
                recorded_ms=wall_ms,
                estimates=estimates,
            )
        )
        self._state.log.info(
            "run_times_recorded",
            version=FORMAT_VERSION,
            keys=len(estimates),
            runs=learned.observed_count,
            declared_error=round(learned.declared_error, 3),
            learned_error=round(learned.learned_error, 3),
        )

    def _log_restored(
        self, record: records.RunTimesLearned, wall_ms: int
    ) -> None:
        self._state.log.info(
            "run_times_restored",
            version=record.version,
            age_ms=max(wall_ms - record.recorded_ms, 0),
            keys=self._restored_count,
            ignored=len(record.estimates) - self._restored_count,
        )


def _has_changed(
    estimates: Mapping[str, tuple[int, ...]],
    previous: Mapping[str, tuple[int, ...]],
) -> bool:
    """Returns whether estimates differ enough to be recorded again."""
    return any(
        key not in previous or _differs(numbers, previous[key])
        for key, numbers in estimates.items()
    )


def _differs(numbers: tuple[int, ...], previous: tuple[int, ...]) -> bool:
    """Returns whether a mean moved or the number of runs grew enough.

    `numbers` holds weight, mean and variance of each moment, in thousandths.
    """
    if len(numbers) != len(previous):
        return True
    means = zip(numbers[1::3], previous[1::3], strict=True)
    if any(abs(mean - earlier) >= MIN_MEAN_CHANGE for mean, earlier in means):
        return True
    return numbers[0] >= MIN_WEIGHT_GROWTH_FACTOR * previous[0] > 0
