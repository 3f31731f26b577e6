"""Times the stages of jobs and short requests from time line events."""

import collections
from collections.abc import Callable

import msgspec

from citronmount.telemetry import metrics_registry
from citronmount.telemetry import timeline_events

__all__ = ["StageTimer"]

MAX_OPEN = 50_000

_Handler = Callable[["StageTimer", timeline_events.TimelineEvent], None]
_HANDLERS: dict[timeline_events.EventKind, _Handler] = {}


def _on(kind: timeline_events.EventKind) -> Callable[[_Handler], _Handler]:
    """Registers the method that takes in one kind of event."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class _Work(msgspec.Struct, kw_only=True):
    """When a job or request came to its stages, in wall-clock ms."""

    accepted_ms: int | None = None
    placed_ms: int | None = None
    started_ms: int | None = None
    evicting_ms: int | None = None


class StageTimer:
    """Records how long work stays in each stage, by the account's class.

    Stages of jobs are ``queued`` (accepted to placed), ``starting`` (placed
    to started), ``running`` (started to ended), ``reclaim`` (asked to give
    way to placed again) and ``total`` (accepted to ended). The stage of short
    requests is ``served`` (first sent to answered). Beyond `MAX_OPEN` the
    oldest open work is forgotten.
    """

    def __init__(
        self,
        *,
        metrics: metrics_registry.MetricsRegistry,
        account_class: Callable[[str], str],
    ) -> None:
        """Initializes a timer without open work.

        Args:
            metrics: Gets the durations.
            account_class: Returns the class of an account, for example paying.
        """
        self._metrics = metrics
        self._account_class = account_class
        self._open: collections.OrderedDict[str, _Work] = (
            collections.OrderedDict()
        )

    def observe(self, event: timeline_events.TimelineEvent) -> None:
        """Takes in an event of this VM.

        Args:
            event: The event.
        """
        handler = _HANDLERS.get(event.kind)
        if handler is not None:
            handler(self, event)

    @_on(timeline_events.EventKind.JOB_ACCEPTED)
    def _accepted(self, event: timeline_events.TimelineEvent) -> None:
        self._work(event.job).accepted_ms = event.physical_ms

    @_on(timeline_events.EventKind.JOB_EVICTING)
    def _evicting(self, event: timeline_events.TimelineEvent) -> None:
        self._work(event.job).evicting_ms = event.physical_ms

    @_on(timeline_events.EventKind.JOB_PLACED)
    def _placed(self, event: timeline_events.TimelineEvent) -> None:
        work = self._work(event.job)
        if work.evicting_ms is not None:
            self._record(event, "reclaim", work.evicting_ms)
        elif work.placed_ms is None:
            self._record(event, "queued", work.accepted_ms)
        work.evicting_ms = None
        work.placed_ms = event.physical_ms

    @_on(timeline_events.EventKind.JOB_STARTED)
    def _started(self, event: timeline_events.TimelineEvent) -> None:
        work = self._work(event.job)
        self._record(event, "starting", work.placed_ms)
        work.started_ms = event.physical_ms

    @_on(timeline_events.EventKind.JOB_ENDED)
    def _ended(self, event: timeline_events.TimelineEvent) -> None:
        work = self._open.pop(event.job, _Work())
        self._record(event, "running", work.started_ms)
        self._record(event, "total", work.accepted_ms)

    @_on(timeline_events.EventKind.REQUEST_SENT)
    def _sent(self, event: timeline_events.TimelineEvent) -> None:
        work = self._work(event.request.partition("~")[0])
        if work.started_ms is None:
            work.started_ms = event.physical_ms

    @_on(timeline_events.EventKind.REQUEST_ANSWERED)
    def _answered(self, event: timeline_events.TimelineEvent) -> None:
        name = event.request.partition("~")[0]
        work = self._open.pop(name, _Work())
        self._record(event, "served", work.started_ms, kind="request")

    def _work(self, name: str) -> _Work:
        work = self._open.get(name)
        if work is None:
            work = self._open[name] = _Work()
            if len(self._open) > MAX_OPEN:
                self._open.popitem(last=False)
        return work

    def _record(
        self,
        event: timeline_events.TimelineEvent,
        stage: str,
        since_ms: int | None,
        *,
        kind: str = "job",
    ) -> None:
        if since_ms is not None:
            work_class = f"{kind}.{self._account_class(event.account)}"
            duration_ms = event.physical_ms - since_ms
            self._metrics.record_duration(work_class, stage, duration_ms)
