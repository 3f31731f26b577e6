"""Counters and histograms made from the log's own events.

Every event counts, also those whose line is dropped. Names come from the code
and never from callers, so that their number is bounded.
"""

from collections.abc import MutableMapping
import typing

from citronmount.telemetry import metrics_registry

__all__ = ["EventMetrics"]

LABEL_FIELDS = ("verdict", "kind", "state", "status", "reason", "cause")
DURATION_FIELDS = ("waited_ms", "took_ms", "age_ms")

_Event = MutableMapping[str, typing.Any]


class EventMetrics:
    """A processor of structlog that counts and times events."""

    def __init__(self, *, metrics: metrics_registry.MetricsRegistry) -> None:
        """Initializes the processor.

        Args:
            metrics: Gets the counters and histograms.
        """
        self._metrics = metrics

    def __call__(self, logger: object, method: str, event: _Event) -> _Event:
        """Counts one event and passes it on."""
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
