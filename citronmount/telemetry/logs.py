"""JSON-line logs through structlog."""

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
    """Sends every log line of the process to one place as JSON.

    Args:
        vm: The VM, part of each line.
        level: The least important level that is written.
        file_path: The log file, or None for the stream.
        stream: Where lines go without a file, or None for standard output.
        event_processor: Gets every event before its line is made, if given.

    Returns:
        Closes the log file when it is closed.
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
    logger.globalLogPublisher.addObserver(_pass_on)
    stack.callback(logger.globalLogPublisher.removeObserver, _pass_on)
    return stack


def _pass_on(event: logger.LogEvent) -> None:
    """Writes what Twisted tells at level warn or above as one line."""
    level = event.get("log_level", logger.LogLevel.info)
    if level < logger.LogLevel.warn:
        return
    structlog.get_logger().error(
        "twisted",
        text=logger.formatEvent(event),
        error=_traceback(event.get("log_failure")),
    )


def _traceback(reason: failure.Failure | None) -> str:
    return "" if reason is None else reason.getTraceback()


def log_event(
    log: structlog.typing.FilteringBoundLogger,
    event: timeline_events.TimelineEvent,
) -> None:
    """Writes an event of the time line as one line.

    Args:
        log: The logger.
        event: The event.
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
