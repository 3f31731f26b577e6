"""Client that sends commands to the platform's runners."""

import http

import msgspec
from twisted.internet import defer

from citronmount.clients import http_client
from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.platform import wire_types
from citronmount.workflow import units

__all__ = ["RunnerClient"]

# Names the expected runner; another one answers with status 421.
EXPECTED_INSTANCE_HEADER = "Citronmount-Expect-Instance"

_END_KINDS = {
    "done": commands.EndKind.DONE,
    "failed": commands.EndKind.FAILED,
    "stopped": commands.EndKind.STOPPED,
    "lapsed": commands.EndKind.LEASE_EXPIRED,
    "broken": commands.EndKind.MEMBER_LOST,
    "alone": commands.EndKind.MEMBER_MISSING,
}
_START_OUTCOMES = {
    "fence": commands.StartOutcome.FENCED,
    "old": commands.StartOutcome.STALE_RUN,
    "late": commands.StartOutcome.LEASE_EXPIRED,
    "room": commands.StartOutcome.NO_CAPACITY,
    "ticket": commands.StartOutcome.NO_TICKET,
}
_STOP_OUTCOMES = {
    http.HTTPStatus.OK: commands.StopOutcome.STOPPED,
    http.HTTPStatus.MISDIRECTED_REQUEST: commands.StopOutcome.OTHER_INCARNATION,
    http.HTTPStatus.CONFLICT: commands.StopOutcome.FENCED,
}
# A report with this many ended tasks may lack others.
_MAX_REPORTED_ENDS = 500


class _Start(msgspec.Struct, omit_defaults=True):
    """`spec` is the payload of the task, not a description of the job."""

    task: str
    run_id: int
    spec: str
    until_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


class _Stop(msgspec.Struct):
    task: str
    run_id: int
    fencing_token: int


class _RenewLeases(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    last_seen: int
    until_ms: int | None = None
    wait_ms: int = 0


class _AdviceRequest(msgspec.Struct):
    step: str
    workers: list[str]


class _AdviceResponse(msgspec.Struct):
    """`granted` has rows of worker and ticket."""

    granted: list[tuple[str, str]]
    valid_ms: wire_types.Milliseconds


class _CommandResponse(msgspec.Struct):
    clock_ms: wire_types.Int64 | None = None
    reason: str = ""


class _RunningRow(msgspec.Struct, array_like=True):
    """A running task; a runner may leave out the load."""

    task: str
    run: wire_types.Int64
    saved: str | None
    percent: float
    load: float | None = None


class _LeaseReport(msgspec.Struct):
    """The tasks that run on a runner and those that ended.

    `running` has rows of task, run, checkpoint, percent and load, `finished`
    rows of number, task, run, kind of end and checkpoint. `born` is the start
    of the runner's incarnation.
    """

    clock_ms: wire_types.Int64
    born: wire_types.Int64 | None = None
    running: list[_RunningRow] = []
    finished: list[
        tuple[wire_types.Int64, str, wire_types.Int64, str, str]
    ] = []


class RunnerClient:
    """Implements `ports.WorkerCommands` with calls to the runners."""

    def __init__(
        self, *, client: http_client.HttpClient, advice_address: str = ""
    ) -> None:
        """Initializes a client; `advice_address` is ``ip:port`` or empty."""
        self._client = client
        self._advice_address = advice_address

    async def start(
        self, command: commands.Start, timeout_ms: int
    ) -> tuple[commands.StartOutcome, int | None]:
        """Starts a task; see `ports.WorkerCommands`."""
        body = _Start(
            task=command.task,
            run_id=command.run,
            spec=command.payload,
            until_ms=command.until_ms,
            fencing_token=int(command.token),
            checkpoint=command.saved,
            ticket=command.ticket,
        )
        try:
            response = await self._call(
                "/-/run-start", command, body, timeout_ms
            )
        except http_client.NoAnswerError as error:
            if error.sent:
                return commands.StartOutcome.UNKNOWN, None
            return commands.StartOutcome.UNREACHABLE, None
        decoded = _decode_answer(response)
        return _start_outcome(response.status, decoded.reason), decoded.clock_ms

    async def stop(
        self, command: commands.Stop, timeout_ms: int
    ) -> tuple[commands.StopOutcome, int | None]:
        """Stops a run; see `ports.WorkerCommands`."""
        body = _Stop(
            task=command.task,
            run_id=command.run,
            fencing_token=int(command.token),
        )
        response = await self._call_or_none(
            "/-/run-stop", command, body, timeout_ms
        )
        if response is None:
            return commands.StopOutcome.UNKNOWN, None
        return _stop_outcome(response.status), _decode_answer(response).clock_ms

    async def renew_leases(
        self, command: commands.RenewLeases, timeout_ms: int
    ) -> commands.LeaseReport | commands.StopOutcome:
        """Renews leases and gets a report; see `ports.WorkerCommands`."""
        body = _RenewLeases(
            fencing_token=int(command.token),
            last_seen=command.last_seen,
            until_ms=command.until_ms,
            wait_ms=command.wait_ms,
        )
        response = await self._call_or_none(
            "/-/hold", command, body, timeout_ms
        )
        if response is None:
            return commands.StopOutcome.UNKNOWN
        if response.status != http.HTTPStatus.OK:
            return _stop_outcome(response.status)
        try:
            return _to_lease_report(
                msgspec.json.decode(response.body, type=_LeaseReport)
            )
        except (*errors.DECODING_ERRORS, LookupError):
            return commands.StopOutcome.UNKNOWN

    async def request_advice(
        self, advice_request: commands.RequestAdvice, timeout_ms: int
    ) -> commands.AdviceAnswer | None:
        """Asks a queue's policy for advice; see `ports.WorkerCommands`."""
        body = _AdviceRequest(
            step=advice_request.step,
            workers=[worker.worker for worker in advice_request.workers],
        )
        try:
            response = await self._post(
                self._advice_address, "/-/advise", {}, body, timeout_ms
            )
            if response.status != http.HTTPStatus.OK:
                return None
            advice = msgspec.json.decode(response.body, type=_AdviceResponse)
        except (http_client.NoAnswerError, *errors.DECODING_ERRORS):
            return None
        return commands.AdviceAnswer(
            tickets={
                ids.WorkerId(worker): ticket
                for worker, ticket in advice.granted
            },
            valid_ms=int(advice.valid_ms),
        )

    async def _call_or_none(
        self,
        path: str,
        command: commands.Command,
        body: msgspec.Struct,
        timeout_ms: int,
    ) -> http_client.HttpResponse | None:
        try:
            return await self._call(path, command, body, timeout_ms)
        except http_client.NoAnswerError:
            return None

    def _call(
        self,
        path: str,
        command: commands.Command,
        body: msgspec.Struct,
        timeout_ms: int,
    ) -> defer.Deferred[http_client.HttpResponse]:
        headers = {EXPECTED_INSTANCE_HEADER: command.worker.worker}
        return self._post(
            command.worker.address, path, headers, body, timeout_ms
        )

    def _post(
        self,
        address: str,
        path: str,
        headers: dict[str, str],
        body: msgspec.Struct,
        timeout_ms: int,
    ) -> defer.Deferred[http_client.HttpResponse]:
        return self._client.call(
            "POST",
            address,
            path,
            timeout_ms,
            headers={"Content-Type": "application/json", **headers},
            body=msgspec.json.encode(body),
        )


def _decode_answer(response: http_client.HttpResponse) -> _CommandResponse:
    """Decodes the answer to a command; an invalid one counts as empty."""
    try:
        return msgspec.json.decode(response.body, type=_CommandResponse)
    except errors.DECODING_ERRORS:
        return _CommandResponse()


def _start_outcome(status: int, reason: str) -> commands.StartOutcome:
    if status == http.HTTPStatus.OK:
        return commands.StartOutcome.STARTED
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return commands.StartOutcome.OTHER_INCARNATION
    if status == http.HTTPStatus.CONFLICT:
        return _START_OUTCOMES.get(reason, commands.StartOutcome.NOT_STARTED)
    return commands.StartOutcome.NOT_STARTED


def _stop_outcome(status: int) -> commands.StopOutcome:
    return _STOP_OUTCOMES.get(status, commands.StopOutcome.UNKNOWN)


def _to_lease_report(report: _LeaseReport) -> commands.LeaseReport:
    return commands.LeaseReport(
        clock_ms=report.clock_ms,
        life_ms=report.born,
        running=tuple(map(_to_running_task, report.running)),
        ended=tuple(map(_to_ended_task, report.finished)),
        complete=len(report.finished) < _MAX_REPORTED_ENDS,
    )


def _to_running_task(row: _RunningRow) -> commands.RunningTask:
    return commands.RunningTask(
        task=units.TaskName(row.task),
        run=row.run,
        saved=row.saved or "",
        percent=row.percent,
        load=row.load or 0,
    )


def _to_ended_task(row: tuple[int, str, int, str, str]) -> commands.EndedTask:
    number, task, run, kind, saved = row
    return commands.EndedTask(
        number=number,
        task=units.TaskName(task),
        run=run,
        kind=_END_KINDS[kind],
        saved=saved,
    )
