"""The HTTP interface that clients of the platform call."""

import time

import klein
import structlog
from twisted.web import http
from twisted.web import iweb
from twisted.web import resource as resource_lib

from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import job_service
from citronmount.platform import job_bodies

__all__ = ["JobApi", "close_after_answer"]

KEY_HEADER = "x-api-key"
DEADLINE_HEADER = "citronmount-deadline-ms"
RETRY_AFTER_S = 1
MAX_LOGGED_PATH = 200

_MS_PER_S = 1_000

_STATUSES = {
    job_service.RequestOutcome.DONE: http.OK,
    job_service.RequestOutcome.UNKNOWN_JOB: http.GONE,
    job_service.RequestOutcome.NOT_DONE: http.SERVICE_UNAVAILABLE,
    job_service.RequestOutcome.UNCERTAIN: http.GATEWAY_TIMEOUT,
}


class JobApi:
    """Routes calls to the front.

    Attributes:
        closing: Whether each connection is closed after its answer.
    """

    app = klein.Klein()

    def __init__(self, *, front: job_service.JobService) -> None:
        """Initializes the interface.

        Args:
            front: Answers the calls.
        """
        self.closing = False
        self._front = front

    def resource(self) -> resource_lib.Resource:
        """Returns the root of the interface."""
        return self.app.resource()

    @app.route("/", branch=True)
    async def call(self, request: iweb.IRequest) -> bytes:
        """Answers any call and logs each refusal.

        A VM that refuses closes the connection, so that the caller's retry
        comes to another VM.
        """
        request.setHeader("content-type", "application/json")
        began_s = time.monotonic()
        in_force = self._front.configuration
        body = await self._answer(request, in_force)
        if self.closing or request.code == http.SERVICE_UNAVAILABLE:
            close_after_answer(request)
        if request.code >= http.BAD_REQUEST:
            structlog.get_logger().info(
                "call_refused",
                method=request.method.decode("ascii", "replace"),
                path=request.path.decode("utf-8", "replace")[:MAX_LOGGED_PATH],
                status=request.code,
                why=body.decode("utf-8", "replace"),
                version=in_force.version if in_force else None,
                took_ms=int((time.monotonic() - began_s) * _MS_PER_S),
            )
        return body

    async def _answer(
        self,
        request: iweb.IRequest,
        in_force: fleet_configuration.FleetConfiguration | None,
    ) -> bytes:
        if in_force is None:
            return _refuse(request, http.SERVICE_UNAVAILABLE)
        path = request.path.decode("utf-8", "replace")
        queue = in_force.queue_at(_host(request), path)
        if queue is None:
            return _refuse(request, http.NOT_FOUND)
        account = self._account(request, in_force, queue)
        if account is None:
            return _refuse(request, http.UNAUTHORIZED)
        name = path.removeprefix(queue.path_prefix)
        if not name and request.method == b"GET":
            return job_bodies.encode_pending(self._front.pending(queue))
        if not job_bodies.is_job_id(name):
            return _refuse(request, http.NOT_FOUND)
        return await self._job_call(request, queue, account, ids.JobId(name))

    async def _job_call(
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
                return await self._state(request, queue, job)
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
        except job_bodies.BadJobError as error:
            return _refuse(request, http.BAD_REQUEST, str(error))
        answer = await self._front.submit(
            queue, account, workflow, _timeout_ms(request, queue)
        )
        return _answer(request, answer)

    async def _cancel(
        self,
        request: iweb.IRequest,
        queue: fleet_configuration.Queue,
        job: ids.JobId,
    ) -> bytes:
        try:
            answer = await self._front.cancel(
                queue, job, _timeout_ms(request, queue)
            )
        except errors.CitronmountError as error:
            return _refuse(request, http.SERVICE_UNAVAILABLE, str(error))
        return _answer(request, answer)

    async def _state(
        self,
        request: iweb.IRequest,
        queue: fleet_configuration.Queue,
        job: ids.JobId,
    ) -> bytes:
        try:
            state = await self._front.state(queue, job)
        except errors.CitronmountError as error:
            return _refuse(request, http.SERVICE_UNAVAILABLE, str(error))
        if state is None:
            return _refuse(request, http.GONE)
        return job_bodies.encode_state(state)

    def _account(
        self,
        request: iweb.IRequest,
        in_force: fleet_configuration.FleetConfiguration,
        queue: fleet_configuration.Queue,
    ) -> ids.AccountId | None:
        """Returns the caller's account, or None if its key is unknown."""
        key = request.getHeader(KEY_HEADER)
        account = in_force.account_of(key) if key else None
        if account is None and queue.public:
            return ids.AccountId("")
        return account


def close_after_answer(request: iweb.IRequest) -> None:
    """Lets the connection of a call end with its answer.

    Args:
        request: The call; its caller may have gone already.
    """
    if request.channel is not None:
        request.channel.persistent = False


def _host(request: iweb.IRequest) -> str:
    return (request.getHeader("host") or "").partition(":")[0]


def _timeout_ms(
    request: iweb.IRequest, queue: fleet_configuration.Queue
) -> int:
    """Returns how long the caller waits, within the queue's limit."""
    text = request.getHeader(DEADLINE_HEADER) or ""
    if not text.isdigit():
        return queue.timeout_ms
    return min(int(text), queue.timeout_ms)


def _answer(request: iweb.IRequest, answer: job_service.RequestResult) -> bytes:
    request.setResponseCode(_STATUSES[answer.verdict])
    if answer.verdict is job_service.RequestOutcome.NOT_DONE:
        request.setHeader("retry-after", str(answer.retry_after_s))
    return b"{}"


def _refuse(request: iweb.IRequest, status: int, why: str = "") -> bytes:
    request.setResponseCode(status)
    if status == http.SERVICE_UNAVAILABLE:
        request.setHeader("retry-after", str(RETRY_AFTER_S))
    return job_bodies.encode_refusal(why)
