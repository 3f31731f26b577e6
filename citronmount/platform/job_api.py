"""The HTTP interface that clients of the platform call."""

import re
import time

import klein
import structlog
from twisted.internet import defer
from twisted.web import http
from twisted.web import iweb
from twisted.web import resource

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import job_service
from citronmount.platform import job_bodies

__all__ = ["JobApi", "close_after_response"]

API_KEY_HEADER = "x-api-key"
DEADLINE_HEADER = "citronmount-deadline-ms"
RETRY_AFTER_S = 1
MAX_LOGGED_PATH_LENGTH = 200

_MS_PER_S = 1_000
_TOO_MANY_REQUESTS = 429
_DEADLINE = re.compile(r"[0-9]{1,18}")

_STATUSES = {
    job_service.RequestOutcome.DONE: http.OK,
    job_service.RequestOutcome.UNKNOWN_JOB: http.GONE,
    job_service.RequestOutcome.NOT_DONE: http.SERVICE_UNAVAILABLE,
    job_service.RequestOutcome.UNCERTAIN: http.GATEWAY_TIMEOUT,
    job_service.RequestOutcome.EXCEEDS_QUOTA: _TOO_MANY_REQUESTS,
}


class JobApi:
    """Dispatches HTTP calls to the job service.

    Attributes:
        closing: Whether each connection is closed after its response.
    """

    app = klein.Klein()

    def __init__(self, *, service: job_service.JobService) -> None:
        """Initializes the interface."""
        self.closing = False
        self._service = service

    def resource(self) -> resource.Resource:
        """Returns the root resource of the interface."""
        return self.app.resource()

    @app.route("/", branch=True)
    async def call(self, request: iweb.IRequest) -> bytes:
        """Answers any call and logs each refusal.

        Status 503 closes the connection, so that a retry reaches another VM.
        """
        request.setHeader("content-type", "application/json")
        start_s = time.monotonic()
        configuration = self._service.configuration
        try:
            body = await self._dispatch(request, configuration)
        except defer.CancelledError:  # The client has disconnected
            raise
        except Exception:
            structlog.get_logger().exception("call_failed")
            body = _refuse(request, http.INTERNAL_SERVER_ERROR)
        if self.closing or request.code == http.SERVICE_UNAVAILABLE:
            close_after_response(request)
        if request.code >= http.BAD_REQUEST:
            structlog.get_logger().info(
                "call_refused",
                method=request.method.decode("ascii", "replace"),
                path=request.path.decode("utf-8", "replace")[
                    :MAX_LOGGED_PATH_LENGTH
                ],
                status=request.code,
                why=body.decode("utf-8", "replace"),
                version=configuration.version if configuration else None,
                took_ms=int((time.monotonic() - start_s) * _MS_PER_S),
            )
        return body

    async def _dispatch(
        self,
        request: iweb.IRequest,
        configuration: fleet_configuration.FleetConfiguration | None,
    ) -> bytes:
        if configuration is None:
            return _refuse(request, http.SERVICE_UNAVAILABLE)
        path = request.path.decode("utf-8", "replace")
        queue = configuration.queue_at(_host_name(request), path)
        if queue is None:
            return _refuse(request, http.NOT_FOUND)
        key = _header(request, API_KEY_HEADER)
        account = configuration.authenticate(queue, key)
        if account is None:
            return _refuse(request, http.UNAUTHORIZED)
        name = path.removeprefix(queue.path_prefix)
        if not name and request.method == b"GET":
            return job_bodies.encode_pending(self._service.pending(queue))
        if not job_bodies.is_job_id(name):
            return _refuse(request, http.NOT_FOUND)
        return await self._dispatch_job_call(
            request, queue, account, ids.JobId(name)
        )

    async def _dispatch_job_call(
        self,
        request: iweb.IRequest,
        queue: fleet_configuration.Queue,
        account: ids.AccountId,
        job: ids.JobId,
    ) -> bytes:
        match request.method:
            case b"POST":
                return await self._submit(request, queue, account, job)
            case b"GET":
                return await self._get_state(request, queue, job)
            case b"DELETE":
                return await self._cancel(request, queue, job)
        return _refuse(request, http.NOT_ALLOWED)

    async def _submit(
        self,
        request: iweb.IRequest,
        queue: fleet_configuration.Queue,
        account: ids.AccountId,
        job: ids.JobId,
    ) -> bytes:
        try:
            workflow = job_bodies.decode_job(job, request.content.read())
        except job_bodies.InvalidJobError as error:
            return _refuse(request, http.BAD_REQUEST, str(error))
        result = await self._service.submit(
            queue, account, workflow, _timeout_ms(request, queue)
        )
        return _respond(request, result)

    async def _cancel(
        self,
        request: iweb.IRequest,
        queue: fleet_configuration.Queue,
        job: ids.JobId,
    ) -> bytes:
        try:
            result = await self._service.cancel(
                queue, job, _timeout_ms(request, queue)
            )
        except errors.CitronmountError as error:
            return _refuse(request, http.SERVICE_UNAVAILABLE, str(error))
        return _respond(request, result)

    async def _get_state(
        self,
        request: iweb.IRequest,
        queue: fleet_configuration.Queue,
        job: ids.JobId,
    ) -> bytes:
        try:
            state = await self._service.state(queue, job)
        except errors.CitronmountError as error:
            return _refuse(request, http.SERVICE_UNAVAILABLE, str(error))
        if state is None:
            return _refuse(request, http.GONE)
        return job_bodies.encode_state(state)


def close_after_response(request: iweb.IRequest) -> None:
    """Closes a call's connection after the response, if it is still open."""
    if request.channel is not None:
        request.channel.persistent = False


def _host_name(request: iweb.IRequest) -> str:
    return _header(request, "host").partition(":")[0]


def _header(request: iweb.IRequest, name: str) -> str:
    """Returns the value of a header, which may be any bytes, or empty."""
    value = request.getHeader(name.encode("ascii")) or b""
    return value.decode("utf-8", "replace")


def _timeout_ms(
    request: iweb.IRequest, queue: fleet_configuration.Queue
) -> int:
    """Returns the client's deadline in ms, at most the queue's limit."""
    deadline = _header(request, DEADLINE_HEADER)
    if not _DEADLINE.fullmatch(deadline):
        return queue.timeout_ms
    return min(int(deadline), queue.timeout_ms)


def _respond(
    request: iweb.IRequest, result: job_service.RequestResult
) -> bytes:
    request.setResponseCode(_STATUSES[result.verdict])
    if result.verdict is job_service.RequestOutcome.NOT_DONE:
        request.setHeader("retry-after", str(result.retry_after_s))
    return job_bodies.encode_refusal(result.reason) if result.reason else b"{}"


def _refuse(request: iweb.IRequest, status: int, reason: str = "") -> bytes:
    request.setResponseCode(status)
    if status == http.SERVICE_UNAVAILABLE:
        request.setHeader("retry-after", str(RETRY_AFTER_S))
    return job_bodies.encode_refusal(reason)
