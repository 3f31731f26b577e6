"""Typed clients of the log service, the platform's list and the targets."""

from twisted.internet import defer

from citronmount.clients import http_client
from citronmount.clients import messages
from citronmount.clients import wire_format
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs

__all__ = [
    "append_log",
    "call_runner",
    "call_worker",
    "list_platform",
    "read_log",
]


def append_log(
    http: http_client.HttpClient,
    address: str,
    stream: ids.StreamName,
    records: tuple[tuple[ids.RecordId, bytes], ...],
    timeout_ms: int,
) -> defer.Deferred[wire_format.AppendAnswer]:
    """Appends records to a stream of the log service.

    Args:
        http: The connections to use.
        address: ``ip:port`` of the log service.
        stream: The stream.
        records: Pairs of record id and encoded record.
        timeout_ms: When to give up.

    Returns:
        Fires with the offset of the first record. After a failure the records
        may be in the log all the same.
    """
    return http.post(
        address,
        wire_format.records_path(stream),
        wire_format.AppendRequest(records=records),
        wire_format.AppendAnswer,
        timeout_ms,
    )


def read_log(
    http: http_client.HttpClient,
    address: str,
    stream: ids.StreamName,
    start: ids.Offset,
    limit: int,
    timeout_ms: int,
) -> defer.Deferred[messages.LogPage]:
    """Reads records of a stream of the log service.

    Args:
        http: The connections to use.
        address: ``ip:port`` of the log service.
        stream: The stream.
        start: The first offset wanted.
        limit: The most records to return.
        timeout_ms: When to give up.

    Returns:
        Fires with the records.
    """
    return http.get(
        address,
        wire_format.records_path(stream),
        messages.LogPage,
        timeout_ms,
        params={"start": str(start), "limit": str(limit)},
    )


def list_platform(
    http: http_client.HttpClient, address: str, timeout_ms: int
) -> defer.Deferred[messages.PlatformView]:
    """Reads the platform's list of VMs and targets.

    Args:
        http: The connections to use.
        address: ``ip:port`` of the list.
        timeout_ms: When to give up.

    Returns:
        Fires with the list.
    """
    return http.get(
        address,
        wire_format.PLATFORM_PATH,
        messages.PlatformView,
        timeout_ms,
        revalidate=True,
    )


def call_worker(
    http: http_client.HttpClient,
    address: str,
    body: messages.WorkerCall,
    timeout_ms: int,
) -> defer.Deferred[messages.WorkerAnswer]:
    """Sends acts to a worker.

    Args:
        http: The connections to use.
        address: ``ip:port`` of the worker.
        body: The acts.
        timeout_ms: When to give up.

    Returns:
        Fires with the answer. After a failure the acts may have taken effect.
    """
    return http.post(
        address, wire_format.ACTS_PATH, body, messages.WorkerAnswer, timeout_ms
    )


def call_runner(
    http: http_client.HttpClient,
    address: str,
    spec: jobs.RequestSpec,
    timeout_ms: int,
) -> defer.Deferred[messages.RunnerAnswer]:
    """Sends a short request to a runner.

    Args:
        http: The connections to use.
        address: ``ip:port`` of the runner.
        spec: The request.
        timeout_ms: When to give up.

    Returns:
        Fires with the answer. The `sent` of a failure tells whether the
        runner may have got the request.
    """
    answer = http.post(
        address,
        wire_format.REQUESTS_PATH,
        spec,
        messages.RunnerAnswer,
        timeout_ms,
    )
    return answer.addCallback(_check_request, spec.request)


def _check_request(
    answer: messages.RunnerAnswer, request: ids.RequestId
) -> messages.RunnerAnswer:
    """Refuses an answer that belongs to another request."""
    if answer.request != request:
        raise http_client.NoAnswerError(
            "the answer names another request",
            code=codes.ResultCode.UNREACHABLE,
            sent=True,
        )
    return answer
