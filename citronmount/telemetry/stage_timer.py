"""Measures the stages of jobs and short requests from timeline events."""

import collections
from collections.abc import Callable

import msgspec

from citronmount.telemetry import metrics_registry
from citronmount.telemetry import timeline_events

__all__ = ["StageTimer"]

MAX_UNFINISHED = 50_000

_Handler = Callable[["StageTimer", timeline_events.TimelineEvent], None]
_HANDLERS: dict[timeline_events.EventKind, _Handler] = {}


def _handles(kind: timeline_events.EventKind) -> Callable[[_Handler], _Handler]:
    """Returns a decorator that registers the handler of a kind of event."""

    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class _StageTimes(msgspec.Struct, kw_only=True):
    """When a job or short request reached its stages, as Unix time in ms.

    A short request has only `started_ms`: when it was first sent.
    """

    accepted_ms: int | None = None
    placed_ms: int | None = None
    started_ms: int | None = None
    evicting_ms: int | None = None


class StageTimer:
    """Records the duration of each stage of the work, by class of account.

    Stages of jobs are ``queued`` (accepted to placed), ``starting`` (placed
    to started), ``running`` (last started to ended), ``reclaim`` (eviction
    requested to placed again) and ``total`` (accepted to ended). Short
    requests have the stage ``served`` (first sent to answered); their ids are
    compared without the ``~`` and unique suffix that the routing VM appends.

    Memory is bounded: beyond `MAX_UNFINISHED` jobs and requests, the oldest
    is forgotten, and its stages that end later are not recorded. Stages that
    began on another VM are not recorded either.
    """

    def __init__(
        self,
        *,
        metrics: metrics_registry.MetricsRegistry,
        account_class: Callable[[str], str],
    ) -> None:
        """Initializes a timer that has observed no events.

        Args:
            metrics: The registry that the durations are recorded in.
            account_class: Returns the class of a client account, for example
                ``paying``.
        """
        self._metrics = metrics
        self._account_class = account_class
        self._unfinished: collections.OrderedDict[str, _StageTimes] = (
            collections.OrderedDict()
        )

    def observe(self, event: timeline_events.TimelineEvent) -> None:
        """Records the stages that an event of this VM ends.

        Args:
            event: The event; kinds that end or begin no stage are ignored.
        """
        handler = _HANDLERS.get(event.kind)
        if handler is not None:
            handler(self, event)

    @_handles(timeline_events.EventKind.JOB_ACCEPTED)
    def _on_accepted(self, event: timeline_events.TimelineEvent) -> None:
        self._times_of(event.job).accepted_ms = event.physical_ms

    @_handles(timeline_events.EventKind.JOB_EVICTING)
    def _on_evicting(self, event: timeline_events.TimelineEvent) -> None:
        self._times_of(event.job).evicting_ms = event.physical_ms

    @_handles(timeline_events.EventKind.JOB_PLACED)
    def _on_placed(self, event: timeline_events.TimelineEvent) -> None:
        times = self._times_of(event.job)
        if times.evicting_ms is not None:
            self._record(event, "reclaim", times.evicting_ms)
        elif times.placed_ms is None:
            self._record(event, "queued", times.accepted_ms)
        times.evicting_ms = None
        times.placed_ms = event.physical_ms

    @_handles(timeline_events.EventKind.JOB_STARTED)
    def _on_started(self, event: timeline_events.TimelineEvent) -> None:
        times = self._times_of(event.job)
        self._record(event, "starting", times.placed_ms)
        times.started_ms = event.physical_ms

    @_handles(timeline_events.EventKind.JOB_ENDED)
    def _on_ended(self, event: timeline_events.TimelineEvent) -> None:
        times = self._unfinished.pop(event.job, _StageTimes())
        self._record(event, "running", times.started_ms)
        self._record(event, "total", times.accepted_ms)

    @_handles(timeline_events.EventKind.REQUEST_SENT)
    def _on_sent(self, event: timeline_events.TimelineEvent) -> None:
        times = self._times_of(event.request.partition("~")[0])
        if times.started_ms is None:
            times.started_ms = event.physical_ms

    @_handles(timeline_events.EventKind.REQUEST_ANSWERED)
    def _on_answered(self, event: timeline_events.TimelineEvent) -> None:
        request = event.request.partition("~")[0]
        times = self._unfinished.pop(request, _StageTimes())
        self._record(event, "served", times.started_ms, kind="request")

    def _times_of(self, work_id: str) -> _StageTimes:
        times = self._unfinished.get(work_id)
        if times is None:
            times = self._unfinished[work_id] = _StageTimes()
            if len(self._unfinished) > MAX_UNFINISHED:
                self._unfinished.popitem(last=False)
        return times

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
