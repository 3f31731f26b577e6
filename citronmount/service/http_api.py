"""The HTTP API of a daemon, for callers and operators."""

from collections.abc import Callable
import math
import typing
import uuid

import klein
import msgspec
from twisted.internet import defer
from twisted.python import failure
from twisted.web import http
from werkzeug import exceptions

from citronmount.agent import events
from citronmount.config import sheet
from citronmount.core import codes
from citronmount.core import errors
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.service import bodies
from citronmount.service import event_loop
from citronmount.service import http_status
from citronmount.service import rate_limiter
from citronmount.service import vm_state_machine
from citronmount.state import records
from citronmount.telemetry import metrics_registry
from citronmount.telemetry import timeline_store

__all__ = ["Api"]

MAX_WAIT_MS = 60_000
MAX_LIMIT = 10_000
MAX_SHEET_BYTES = 1 << 20
DEFAULT_JOBS_LIMIT = 100
DEFAULT_EVENTS_LIMIT = 1_000
DEFAULT_RETRY_AFTER_MS = 1_000

_MS_PER_S = 1_000
_MAX_QUERY_LENGTH = 1_024
_Body = typing.TypeVar("_Body", bound=msgspec.Struct)


class _RefusedError(errors.CitronmountError):
    """Raised to answer a request with a result code."""

    def __init__(
        self,
        code: codes.ResultCode,
        detail: str = "",
        retry_after_ms: int | None = None,
    ) -> None:
        super().__init__(detail, code=code)
        self.detail = detail
        self.retry_after_ms = retry_after_ms


class Api:
    """Translates HTTP requests into calls of the state machine."""

    app = klein.Klein()

    def __init__(
        self,
        *,
        vm: ids.VmId,
        failure_domain: ids.FailureDomainId,
        runtime: event_loop.Runtime,
        state_machine: vm_state_machine.VmStateMachine,
        timeline: timeline_store.TimelineStore,
        metrics: metrics_registry.MetricsRegistry,
        account_limiter: rate_limiter.RateLimiter,
        now_ms: Callable[[], int],
        wall_ms: Callable[[], int],
        new_id: Callable[[], str] = lambda: uuid.uuid4().hex,
    ) -> None:
        """Initializes the API.

        Args:
            vm: This VM.
            failure_domain: The failure domain of this VM.
            runtime: Passes calls to the state machine.
            state_machine: Provides configuration, members and readiness.
            timeline: The timeline events recorded on this VM.
            metrics: The metrics to export.
            account_limiter: Limits the request rate of each account.
            now_ms: Returns the monotonic time.
            wall_ms: Returns the Unix time.
            new_id: Returns a new unique string.
        """
        self._vm = vm
        self._failure_domain = failure_domain
        self._runtime = runtime
        self._state_machine = state_machine
        self._timeline = timeline
        self._metrics = metrics
        self._account_limiter = account_limiter
        self._now_ms = now_ms
        self._wall_ms = wall_ms
        self._new_id = new_id

    @app.handle_errors(errors.CitronmountError)
    def handle_error(
        self, request: http.Request, reason: failure.Failure
    ) -> bytes:
        """Answers a call that raised a `CitronmountError`."""
        error = reason.value
        detail = getattr(error, "detail", str(error))
        retry_after_ms = getattr(error, "retry_after_ms", None)
        return self._send_code(request, error.code, detail, retry_after_ms)

    @app.handle_errors(exceptions.HTTPException)
    def handle_http_error(
        self, request: http.Request, reason: failure.Failure
    ) -> bytes:
        """Answers a request for an unknown path or method."""
        status = reason.value.code
        detail = f"{status} {reason.value.name}"
        data = self._send_code(
            request, codes.ResultCode.INVALID_REQUEST, detail
        )
        request.setResponseCode(status)
        return data

    @app.route("/v1/jobs", methods=["POST"])
    async def submit(self, request: http.Request) -> bytes:
        """Submits a job."""
        body = _decode_body(request, bodies.JobBody)
        self._check_rate_limit(body.account)
        spec = body.to_spec(self._wall_ms())
        answer = await self._call(peer_messages.SubmitJob(spec=spec))
        return self._send_answer(request, answer, codes.ResultCode.ACCEPTED)

    @app.route("/v1/jobs/<path:job>", methods=["GET"])
    async def get_job(self, request: http.Request, job: str) -> bytes:
        """Returns the status of a job.

        With ``wait_ms``, waits up to that many ms, at most `MAX_WAIT_MS`, for
        the job to end.
        """
        wait_ms = _optional_number(request, "wait_ms", 0, MAX_WAIT_MS)
        call = peer_messages.GetJob(job=ids.JobId(job), wait_ms=wait_ms)
        return self._send_answer(request, await self._call(call))

    @app.route("/v1/jobs", methods=["GET"])
    async def list_jobs(self, request: http.Request) -> bytes:
        """Returns jobs, of one account or all, in one failure domain or all."""
        domain = _query_text(request, "failure_domain")
        call = peer_messages.ListJobs(
            failure_domain=ids.FailureDomainId(domain),
            account=ids.AccountId(_query_text(request, "account")),
            limit=_optional_number(
                request, "limit", DEFAULT_JOBS_LIMIT, MAX_LIMIT
            ),
        )
        return self._send_answer(request, await self._call(call))

    @app.route("/v1/jobs/<path:job>", methods=["DELETE"])
    async def cancel_job(self, request: http.Request, job: str) -> bytes:
        """Cancels a job."""
        call = peer_messages.CancelJob(job=ids.JobId(job))
        return self._send_answer(request, await self._call(call))

    @app.route("/v1/jobs", methods=["DELETE"])
    async def cancel_jobs(self, request: http.Request) -> bytes:
        """Cancels all jobs of an account in one failure domain or in all."""
        account = ids.AccountId(_required_text(request, "account"))
        domain = ids.FailureDomainId(_query_text(request, "failure_domain"))
        call = peer_messages.CancelJobs(account=account, failure_domain=domain)
        return self._send_answer(request, await self._call(call))

    @app.route("/v1/requests", methods=["POST"])
    async def run_request(self, request: http.Request) -> bytes:
        """Runs a short request and returns its result."""
        start_ms = self._now_ms()
        body = _decode_body(request, bodies.RequestBody)
        self._check_rate_limit(body.account)
        spec = body.to_spec(self._new_id())
        answer = await self._call(peer_messages.RunRequest(spec=spec))
        self._metrics.record_duration(
            "request", "http", self._now_ms() - start_ms
        )
        return self._send_answer(request, answer)

    @app.route("/v1/configuration", methods=["GET"])
    def get_configuration(self, request: http.Request) -> bytes:
        """Returns the configuration in force on this VM."""
        configuration = self._state_machine.configuration
        if configuration is None:
            raise _RefusedError(codes.ResultCode.NO_CONFIGURATION)
        body = bodies.ConfigurationBody(
            version=configuration.version, content=configuration
        )
        return self._send(request, codes.ResultCode.OK, body)

    @app.route("/v1/configuration", methods=["PUT"])
    async def publish(self, request: http.Request) -> bytes:
        """Publishes the configuration sheet in the request body."""
        base_version = _required_number(request, "base_version")
        author = _query_text(request, "author")
        parsed = sheet.parse(_read_sheet(request))
        if parsed.configuration is None or parsed.faults:
            return self._refuse_sheet(request, parsed)
        change = records.ConfigurationChange(
            record=ids.RecordId(self._new_id()),
            base_version=ids.Version(base_version),
            author=author,
            content=parsed.configuration,
        )
        call = peer_messages.PublishConfiguration(change=change)
        return self._send_answer(request, await self._call(call))

    @app.route("/v1/timeline", methods=["GET"])
    def get_timeline(self, request: http.Request) -> bytes:
        """Returns the timeline events recorded on this VM."""
        event_filter = timeline_store.TimelineFilter(
            job=_query_text(request, "job"),
            account=_query_text(request, "account"),
            target=_query_text(request, "target"),
            limit=_optional_number(
                request, "limit", DEFAULT_EVENTS_LIMIT, MAX_LIMIT
            ),
        )
        matching = self._timeline.find(event_filter)
        body = bodies.TimelineBody(
            vm=self._vm, events=matching.events, dropped=matching.dropped
        )
        return self._send(request, codes.ResultCode.OK, body)

    @app.route("/v1/drain", methods=["POST"])
    def drain(self, request: http.Request) -> bytes:
        """Starts a drain of this VM, after which the process exits."""
        self._runtime.dispatch(events.DrainRequested())
        return self._send_code(request, codes.ResultCode.ACCEPTED, "draining")

    @app.route("/v1/health", methods=["GET"])
    def health(self, request: http.Request) -> bytes:
        """Returns 200 while the process runs."""
        return self._send_code(request, codes.ResultCode.OK, "alive")

    @app.route("/v1/ready", methods=["GET"])
    def ready(self, request: http.Request) -> bytes:
        """Returns 200 while the VM accepts new work, otherwise 503."""
        if self._state_machine.ready:
            return self._send_code(request, codes.ResultCode.OK, "ready")
        return self._send_code(request, self._not_ready_code())

    def _not_ready_code(self) -> codes.ResultCode:
        if self._state_machine.draining:
            return codes.ResultCode.DRAINING
        configuration = self._state_machine.configuration
        # Version 0 is the empty configuration before the first accepted change.
        if configuration is None or configuration.version == 0:
            return codes.ResultCode.NO_CONFIGURATION
        return codes.ResultCode.REBUILDING

    @app.route("/v1/metrics", methods=["GET"])
    def get_metrics(self, request: http.Request) -> bytes:
        """Returns histograms, counters and gauges."""
        snapshot = self._metrics.snapshot()
        return self._send(request, codes.ResultCode.OK, snapshot)

    @app.route("/v1/membership", methods=["GET"])
    def membership(self, request: http.Request) -> bytes:
        """Returns the membership view of this VM."""
        members = self._state_machine.members(self._now_ms())
        body = bodies.MembersBody(vm=self._vm, members=members)
        return self._send(request, codes.ResultCode.OK, body)

    def _call(
        self, body: peer_messages.CallerCall
    ) -> defer.Deferred[peer_messages.Answer]:
        self._metrics.increment(f"calls.{type(body).__name__}")
        return self._runtime.call(body)

    def _check_rate_limit(self, account: str) -> None:
        retry_after_ms = self._account_limiter.take(
            ids.AccountId(account), self._now_ms()
        )
        if retry_after_ms:
            raise _RefusedError(
                codes.ResultCode.RATE_LIMITED, retry_after_ms=retry_after_ms
            )

    def _send_answer(
        self,
        request: http.Request,
        answer: peer_messages.Answer,
        success_code: codes.ResultCode = codes.ResultCode.OK,
    ) -> bytes:
        match answer:
            case peer_messages.Failure(result=result):
                return self._send_code(
                    request, result.code, result.detail, answer.retry_after_ms
                )
            case peer_messages.JobAnswer(status=status):
                return self._send(request, success_code, status)
            case peer_messages.JobsAnswer():
                body = bodies.JobsBody(
                    jobs=answer.statuses,
                    total=answer.total,
                    unanswered=answer.unanswered,
                )
                return self._send(request, success_code, body)
            case peer_messages.RequestAnswer(result=result):
                _set_retry_after(request, result.retry_after_ms)
                return self._send(request, result.code, result)
            case peer_messages.PublishAnswer():
                body = _publish_body(answer.result, answer.version)
                return self._send(request, answer.result.code, body)
        raise _RefusedError(codes.ResultCode.INTERNAL)

    def _refuse_sheet(
        self, request: http.Request, parsed: sheet.Sheet
    ) -> bytes:
        configuration = self._state_machine.configuration
        code = codes.ResultCode.CONFIGURATION_INVALID
        count = len(parsed.faults) + parsed.further_faults
        body = _publish_body(
            jobs.JobResult(code=code, detail=f"{count} faults in the sheet"),
            ids.Version(0) if configuration is None else configuration.version,
            tuple(str(fault) for fault in parsed.faults),
        )
        return self._send(request, code, body)

    def _send_code(
        self,
        request: http.Request,
        code: codes.ResultCode,
        detail: str = "",
        retry_after_ms: int | None = None,
    ) -> bytes:
        if retry_after_ms is None and codes.info(code).retry:
            retry_after_ms = DEFAULT_RETRY_AFTER_MS
        _set_retry_after(request, retry_after_ms)
        body = bodies.make_result_body(code, detail, retry_after_ms)
        return self._send(request, code, body)

    def _send(
        self,
        request: http.Request,
        code: codes.ResultCode,
        body: msgspec.Struct,
    ) -> bytes:
        request.setResponseCode(http_status.status_of(code))
        request.setHeader("Content-Type", "application/json")
        if self._state_machine.draining:
            request.setHeader("Connection", "close")
            request.channel.persistent = False
        return msgspec.json.encode(body)


def _decode_body(request: http.Request, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(request.content.read(), type=body_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _RefusedError(
            codes.ResultCode.INVALID_REQUEST, str(error)
        ) from error


def _read_sheet(request: http.Request) -> bytes:
    """Returns the sheet, of at most `MAX_SHEET_BYTES`.

    It is parsed in the reactor thread, so a larger sheet would block the event
    loop.
    """
    data = request.content.read(MAX_SHEET_BYTES + 1)
    if len(data) > MAX_SHEET_BYTES:
        detail = f"expected a sheet of at most {MAX_SHEET_BYTES} bytes"
        raise _RefusedError(codes.ResultCode.TOO_LARGE, detail)
    return data


def _query_text(request: http.Request, name: str) -> str:
    values = request.args.get(name.encode("ascii"), [b""])
    try:
        text = values[0].decode("utf-8")
    except UnicodeDecodeError as error:
        raise _invalid_query(name, "UTF-8") from error
    if len(text) > _MAX_QUERY_LENGTH:
        raise _invalid_query(name, f"at most {_MAX_QUERY_LENGTH} characters")
    return text


def _required_text(request: http.Request, name: str) -> str:
    text = _query_text(request, name)
    if not text:
        raise _invalid_query(name, "a value")
    return text


def _required_number(request: http.Request, name: str) -> int:
    text = _required_text(request, name)
    if not (text.isascii() and text.isdigit()):
        raise _invalid_query(name, "a non-negative integer")
    return int(text)


def _optional_number(
    request: http.Request, name: str, default: int, maximum: int
) -> int:
    """Returns a number of the query, clamped to the maximum."""
    if not _query_text(request, name):
        return default
    return min(_required_number(request, name), maximum)


def _invalid_query(name: str, expected: str) -> _RefusedError:
    detail = f"{name}: expected {expected}"
    return _RefusedError(codes.ResultCode.INVALID_REQUEST, detail)


def _set_retry_after(request: http.Request, retry_after_ms: int | None) -> None:
    if retry_after_ms is not None:
        seconds = math.ceil(retry_after_ms / _MS_PER_S)
        request.setHeader("Retry-After", str(seconds))


def _publish_body(
    result: jobs.JobResult, version: ids.Version, faults: tuple[str, ...] = ()
) -> bodies.PublishBody:
    return bodies.PublishBody(
        code=int(result.code),
        name=result.code.name,
        detail=result.detail or codes.info(result.code).meaning,
        version=version,
        faults=faults,
    )
