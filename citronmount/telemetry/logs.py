"""Structured logs as JSON lines, through structlog."""

import contextlib
import logging
import pathlib
import sys
import typing

import msgspec
import structlog
from twisted import logger
from twisted.python import failure

from citronmount.core import codes
from citronmount.telemetry import bounded_sink
from citronmount.telemetry import timeline_events

__all__ = ["configure", "log_event"]

_EMPTY = ("", 0)


def configure(
    *,
    vm: str,
    level: str,
    file_path: str | None,
    stream: typing.TextIO | bounded_sink.BoundedSink | None = None,
    event_processor: structlog.typing.Processor | None = None,
) -> contextlib.ExitStack:
    """Configures structlog and Twisted to log JSON lines to one destination.

    Args:
        vm: The VM, added to each line as ``vm``.
        level: The lowest level that is written, for example ``info``.
        file_path: Path of the log file, or None to write to `stream`.
        stream: Destination without a log file; None for standard output.
        event_processor: A structlog processor that receives every event of at
            least `level` before it is rendered, or None.

    Returns:
        An exit stack that closes the log file and detaches the log from
        Twisted when it is closed.
    """
    stack = contextlib.ExitStack()
    stream = stream or sys.stdout
    if file_path is not None:
        path = pathlib.Path(file_path)
        stream = stack.enter_context(path.open("a", encoding="utf-8"))
    structlog.configure(
        processors=[
            *([] if event_processor is None else [event_processor]),
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(file=stream),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)
    logger.globalLogPublisher.addObserver(_log_twisted_event)
    stack.callback(logger.globalLogPublisher.removeObserver, _log_twisted_event)
    return stack


def _log_twisted_event(event: logger.LogEvent) -> None:
    """Logs a Twisted event of level warn or above as one error line."""
    level = event.get("log_level", logger.LogLevel.info)
    if level < logger.LogLevel.warn:
        return
    structlog.get_logger().error(
        "twisted",
        text=logger.formatEvent(event),
        error=_traceback(event.get("log_failure")),
    )


def _traceback(twisted_failure: failure.Failure | None) -> str:
    return "" if twisted_failure is None else twisted_failure.getTraceback()


def log_event(
    log: structlog.typing.FilteringBoundLogger,
    event: timeline_events.TimelineEvent,
) -> None:
    """Logs a timeline event as one line, without its empty fields.

    Args:
        log: The logger to write to.
        event: The event. A result code is logged together with its name.
    """
    fields = {
        name: value
        for name, value in msgspec.structs.asdict(event).items()
        if name not in ("kind", "process") and value not in _EMPTY
    }
    if event.code:
        fields["code_name"] = codes.ResultCode(event.code).name
    log.info(event.kind.value, **fields)


def _to_json(line: dict[str, object], **options: object) -> str:
    return msgspec.json.encode(line, enc_hook=str).decode("utf-8")
