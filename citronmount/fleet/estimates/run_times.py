"""Learns run times from finished runs, for keys from broad to narrow."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import math
import typing

from citronmount.fleet.estimates import key_statistics
from citronmount.fleet.estimates import prediction
from citronmount.fleet.estimates import run_time
from citronmount.workflow import spec

__all__ = ["Key", "RunTimes", "keys_of"]

Key = typing.NewType("Key", str)

MAX_KEYS = 1_000
# Accounts and images are named by others, and the record has to stay small.
MAX_KEY_CHARS = 200
MIN_RUNS = 3.0
RESTORED_RUNS = 10.0

# Of the mean of a logarithm; beyond it a run time has no meaning.
MAX_LOG = 50.0

_SEPARATOR = "|"
_SNAPSHOT_SCALE = 1_000


def keys_of(submission: spec.Submission, step: spec.Step) -> tuple[Key, ...]:
    """Returns the keys of a step, the broadest first.

    Args:
        submission: The job.
        step: One of its steps.

    Returns:
        The queue; queue and shape; account, queue and shape; and queue and
        image if the step names one. Keys that are too long are left out.
    """
    queue = submission.terms.queue
    # The slowest of many tasks determines the run time of a gang.
    size = step.tasks.bit_length() if step.gang else 0
    cores = step.demand.millicores.bit_length()
    shape = f"{size}.{step.demand.accelerators}.{cores}"
    parts = [("q", queue), ("s", queue, shape)]
    parts.append(("a", queue, shape, submission.account))
    if step.image:
        parts.append(("i", queue, step.image))
    joined = map(_SEPARATOR.join, parts)
    return tuple(Key(key) for key in joined if len(key) <= MAX_KEY_CHARS)


class RunTimes:
    """Run times learned for a bounded number of keys.

    Attributes:
        observed_count: Number of finished runs observed.
        declared_error: Mean absolute logarithmic error of declared times.
        learned_error: Mean absolute logarithmic error of predictions.
    """

    def __init__(self) -> None:
        """Initializes without observations."""
        self.observed_count = 0
        self.declared_error = 0.0
        self.learned_error = 0.0
        self._error_weight = 0.0
        self._by_key: collections.OrderedDict[
            Key, key_statistics.KeyStatistics
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._by_key)

    def observe(
        self,
        submission: spec.Submission,
        step: spec.Step,
        elapsed_ms: float,
        weight: float = 1.0,
    ) -> None:
        """Learns from a run that has finished.

        Args:
            submission: The job.
            step: The step of the run.
            elapsed_ms: Run time on a worker of ordinary speed.
            weight: Weight of the run, at most 1; less for runs that are not
                independent of others.
        """
        actual = math.log(max(elapsed_ms, 1.0))
        predicted = self._predict(submission, step)
        self.observed_count += 1
        self._record_errors(step, actual, predicted, weight)
        declared = _log_declared(step)
        long = (
            predicted is not None
            and actual - predicted.mean > prediction.LONG_LOG
        )
        residual = actual - predicted.mean if predicted else None
        typical = prediction.UNKNOWN
        bias = spread = prediction.AS_DECLARED
        for key in keys_of(submission, step):
            own = self._statistics(key)
            typical = _learn(own.typical, typical, actual, weight)
            if declared is not None:
                bias = _learn(own.bias, bias, actual - declared, weight)
                own.declared.add(declared, weight)
            if residual is None:
                continue
            if long:
                own.excess.add(residual, weight)
            else:
                own.excess.weight *= key_statistics.WEIGHT_RETENTION**weight
                spread = _learn(own.residual, spread, residual, weight)

    def observe_bound(
        self,
        submission: spec.Submission,
        step: spec.Step,
        elapsed_ms: float,
        weight: float = 1.0,
    ) -> None:
        """Learns from a run that takes at least some time.

        The run is taken to need the expected time of runs that exceed the
        bound (expectation maximization, Dempster, Laird and Rubin, 1977). That
        may lengthen the estimates, but never shortens them.

        Args:
            submission: The job.
            step: The step of the run.
            elapsed_ms: Time that the run has taken on a worker of ordinary
                speed, without being done.
            weight: Weight of the run, at most 1.
        """
        predicted = self._predict(submission, step)
        bound = math.log(max(elapsed_ms, 1.0))
        if predicted is None or bound <= predicted.mean:
            return
        expected = predicted.mean_beyond(bound)
        declared = _log_declared(step)
        for key in keys_of(submission, step):
            own = self._by_key.get(key)
            if own is None:
                continue
            own.typical.raise_mean(expected, weight)
            if declared is not None:
                own.bias.raise_mean(expected - declared, weight)

    def run_time(
        self, submission: spec.Submission, step: spec.Step
    ) -> run_time.RunTime | None:
        """Returns the expected run time of a task.

        Args:
            submission: The job.
            step: One of its steps.

        Returns:
            The run time, or None if too few runs of the queue have finished or
            if the step is a lasting one.
        """
        predicted = self._predict(submission, step)
        if predicted is None:
            return None
        low_ms, median_ms, high_ms = map(
            predicted.quantile_ms, prediction.Quantile
        )
        return run_time.RunTime(
            low_ms=low_ms, median_ms=median_ms, high_ms=high_ms
        )

    def quantile_ms(
        self,
        submission: spec.Submission,
        step: spec.Step,
        quantile: prediction.Quantile,
    ) -> int:
        """Returns a quantile of the run time of a task.

        Args:
            submission: The job.
            step: One of its steps.
            quantile: The quantile.

        Returns:
            Milliseconds; the declared time if too few runs have finished.
        """
        predicted = self._predict(submission, step)
        if predicted is None:
            return step.estimate_ms
        return predicted.quantile_ms(quantile)

    def snapshot(self, limit: int) -> dict[Key, tuple[int, ...]]:
        """Returns the statistics to record for the next owner.

        Args:
            limit: Maximum number of keys; those with the most runs are kept.

        Returns:
            For each key the weight, mean and variance of each of its moments,
            in thousandths.
        """
        heaviest = sorted(
            self._by_key.items(),
            key=lambda item: item[1].typical.weight,
            reverse=True,
        )
        return {
            key: tuple(
                round(number * _SNAPSHOT_SCALE)
                for moments in statistic.all_moments()
                for number in (moments.weight, moments.mean, moments.variance)
            )
            for key, statistic in heaviest[:limit]
        }

    def restore(self, snapshot: Mapping[str, tuple[int, ...]]) -> int:
        """Restores the statistics of an earlier owner.

        They count like at most `RESTORED_RUNS` runs, because the load may have
        changed. Entries that no `snapshot` returns are ignored.

        Args:
            snapshot: Return value of `snapshot` at the earlier owner.

        Returns:
            The number of keys restored.
        """
        fields = key_statistics.KeyStatistics.__struct_fields__
        restored_count = 0
        # The heaviest keys come first in the snapshot and last into the
        # least-recently-used order.
        for key, numbers in reversed(list(snapshot.items())[:MAX_KEYS]):
            scaled = [number / _SNAPSHOT_SCALE for number in numbers]
            triples = [scaled[n : n + 3] for n in range(0, len(scaled), 3)]
            if len(numbers) != 3 * len(fields) or not all(
                map(_is_valid, triples)
            ):
                continue
            factor = min(1.0, RESTORED_RUNS / max(triples[0][0], 1.0))
            self._by_key[Key(key)] = key_statistics.KeyStatistics(
                **{
                    name: key_statistics.Moments(
                        weight=weight * factor, mean=mean, variance=variance
                    )
                    for name, (weight, mean, variance) in zip(
                        fields, triples, strict=True
                    )
                }
            )
            restored_count += 1
        return restored_count

    def _statistics(self, key: Key) -> key_statistics.KeyStatistics:
        """Returns the statistics of a key; evicts the least recently used."""
        own = self._by_key.get(key)
        if own is None:
            own = self._by_key[key] = key_statistics.KeyStatistics()
        self._by_key.move_to_end(key)
        if len(self._by_key) > MAX_KEYS:
            self._by_key.popitem(last=False)
        return own

    def _predict(
        self, submission: spec.Submission, step: spec.Step
    ) -> prediction.Prediction | None:
        if step.lasting:
            return None
        found = [
            own
            for key in keys_of(submission, step)
            if (own := self._by_key.get(key)) is not None
        ]
        predicted = prediction.predict(found, _log_declared(step))
        if predicted is None or predicted.runs < MIN_RUNS:
            return None
        return predicted

    def _record_errors(
        self,
        step: spec.Step,
        actual: float,
        predicted: prediction.Prediction | None,
        weight: float,
    ) -> None:
        """Updates the mean errors with a run that both times exist for."""
        declared = _log_declared(step)
        if declared is None or predicted is None:
            return
        self._error_weight = (
            self._error_weight * key_statistics.WEIGHT_RETENTION**weight
            + weight
        )
        gain = weight / self._error_weight
        declared_error = abs(actual - declared)
        learned_error = abs(actual - predicted.mean)
        self.declared_error += gain * (declared_error - self.declared_error)
        self.learned_error += gain * (learned_error - self.learned_error)


def _learn(
    own: key_statistics.Moments,
    broader: key_statistics.Moments,
    value: float,
    weight: float,
) -> key_statistics.Moments:
    """Adds a value to the moments of a key; returns the combined moments."""
    around = key_statistics.shrink(own, broader)
    own.add(key_statistics.clipped(value, around), weight)
    return key_statistics.shrink(own, broader)


def _log_declared(step: spec.Step) -> float | None:
    return math.log(step.estimate_ms) if step.estimate_ms > 0 else None


def _is_valid(triple: Sequence[float]) -> bool:
    weight, mean, variance = triple
    return weight >= 0 and abs(mean) <= MAX_LOG and 0 <= variance <= MAX_LOG
