"""Counters and histograms derived from log events.

Every event of at least the log level is counted, including those whose line is
dropped by a `BoundedSink`. Event names and label values come from the code and
never from callers, so the number of metrics is bounded.
"""

from collections.abc import MutableMapping
import typing

from citronmount.telemetry import metrics_registry

__all__ = ["EventMetrics"]

LABEL_FIELDS = ("verdict", "kind", "state", "status", "reason", "cause")
DURATION_FIELDS = ("waited_ms", "took_ms", "age_ms")

_EventDict = MutableMapping[str, typing.Any]


class EventMetrics:
    """A structlog processor that counts events and records durations.

    An event named ``x`` increments the counter ``events.x`` and, for each
    field of `LABEL_FIELDS`, ``events.x.FIELD.VALUE``. A field of
    `DURATION_FIELDS` is recorded in the histogram of that event, with the
    field's name without ``_ms`` as the stage.
    """

    def __init__(self, *, metrics: metrics_registry.MetricsRegistry) -> None:
        """Initializes the processor.

        Args:
            metrics: The registry that holds the counters and histograms.
        """
        self._metrics = metrics

    def __call__(
        self, logger: object, method: str, event: _EventDict
    ) -> _EventDict:
        """Counts an event and returns it unchanged, as structlog requires."""
        del logger, method
        name = str(event.get("event", ""))
        self._metrics.increment(f"events.{name}")
        for field in LABEL_FIELDS:
            if field in event:
                self._metrics.increment(f"events.{name}.{field}.{event[field]}")
        for field in DURATION_FIELDS:
            if field in event:
                stage = field.removesuffix("_ms")
                self._metrics.record_duration(name, stage, event[field])
        return event
