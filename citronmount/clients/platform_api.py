"""Typed calls to the log service, the VM list and the targets.

The Deferreds that they return fail with `http_client.NoAnswerError`.
"""

from twisted.internet import defer

from citronmount.clients import call_time_limit
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
        http: The HTTP client.
        address: ``ip:port`` of the log service.
        stream: The stream.
        records: Pairs of a record id and an encoded record.
        timeout_ms: The time limit of the call.

    Returns:
        A Deferred that fires with the offset of the first record. After a
        failure, the records may or may not have been appended.
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
        http: The HTTP client.
        address: ``ip:port`` of the log service.
        stream: The stream.
        start: The offset of the first record to read.
        limit: The largest number of records to return.
        timeout_ms: The time limit of the call, which an answer that is still
            arriving extends.

    Returns:
        A Deferred that fires with a page of records.
    """
    return http.get(
        address,
        wire_format.records_path(stream),
        messages.LogPage,
        timeout_ms,
        params={"start": str(start), "limit": str(limit)},
        stall_timeout_ms=call_time_limit.STALL_TIMEOUT_MS,
    )


def list_platform(
    http: http_client.HttpClient, address: str, timeout_ms: int
) -> defer.Deferred[messages.PlatformView]:
    """Reads the platform's list of VMs and targets.

    The request is conditional: an unchanged list comes from the cache of the
    HTTP client.

    Args:
        http: The HTTP client.
        address: ``ip:port`` of the VM list.
        timeout_ms: The time limit of the call, which an answer that is still
            arriving extends.

    Returns:
        A Deferred that fires with the list.
    """
    return http.get(
        address,
        wire_format.PLATFORM_PATH,
        messages.PlatformView,
        timeout_ms,
        revalidate=True,
        stall_timeout_ms=call_time_limit.STALL_TIMEOUT_MS,
    )


def call_worker(
    http: http_client.HttpClient,
    address: str,
    body: messages.WorkerCall,
    timeout_ms: int,
) -> defer.Deferred[messages.WorkerAnswer]:
    """Sends acts to a worker.

    Args:
        http: The HTTP client.
        address: ``ip:port`` of the worker.
        body: The acts and the fencing token.
        timeout_ms: The time limit of the call.

    Returns:
        A Deferred that fires with the answer. After a failure, the acts may
        or may not have taken effect.
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
        http: The HTTP client.
        address: ``ip:port`` of the runner.
        spec: The request.
        timeout_ms: The time limit of the call.

    Returns:
        A Deferred that fires with the answer or fails with
        `http_client.NoAnswerError`, whose `sent` says whether the runner may
        have received the request.
    """
    answer = http.post(
        address,
        wire_format.REQUESTS_PATH,
        spec,
        messages.RunnerAnswer,
        timeout_ms,
    )
    return answer.addCallback(_check_answered_request, spec.request)


def _check_answered_request(
    answer: messages.RunnerAnswer, request: ids.RequestId
) -> messages.RunnerAnswer:
    """Raises `NoAnswerError` for an answer to a different request."""
    if answer.request != request:
        raise http_client.NoAnswerError(
            f"expected an answer to request {request}, got one to "
            f"{answer.request}",
            code=codes.ResultCode.UNREACHABLE,
            sent=True,
        )
    return answer
