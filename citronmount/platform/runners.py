"""Orders to the platform's runners."""

import http
import typing

import msgspec
from twisted.internet import defer

from citronmount.clients import http_client
from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.workflow import units

__all__ = ["RunnerOrders"]

EXPECTED_LIFE_HEADER = "Citronmount-Expect-Instance"

_END_KINDS = {
    "done": commands.EndKind.DONE,
    "failed": commands.EndKind.FAILED,
    "stopped": commands.EndKind.STOPPED,
    "lapsed": commands.EndKind.LEASE_EXPIRED,
    "broken": commands.EndKind.MEMBER_LOST,
    "alone": commands.EndKind.MEMBER_MISSING,
}
_REASONS = {
    "fence": commands.StartOutcome.FENCED,
    "old": commands.StartOutcome.STALE_RUN,
    "late": commands.StartOutcome.LEASE_EXPIRED,
    "room": commands.StartOutcome.NO_CAPACITY,
    "ticket": commands.StartOutcome.NO_TICKET,
}
_MAX_ENDS = 500


class _Start(msgspec.Struct, omit_defaults=True):
    """`spec` is what the task is handed, not a description of the job."""

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


class _Hold(msgspec.Struct, omit_defaults=True):
    fencing_token: int
    last_seen: int
    until_ms: int | None = None
    wait_ms: int = 0


class _Question(msgspec.Struct):
    step: str
    workers: list[str]


class _Advice(msgspec.Struct):
    """`granted` holds rows of worker and ticket."""

    granted: list[tuple[str, str]]
    valid_ms: float


class _Answer(msgspec.Struct):
    clock_ms: int | None = None
    reason: str = ""


class _Report(msgspec.Struct):
    """`running`: task, run, saved, percent, load.

    `finished`: number, task, run, how, saved. `born` names the life.
    """

    clock_ms: int
    born: int | None = None
    running: list[list[typing.Any]] = []
    finished: list[tuple[int, str, int, str, str]] = []


class RunnerOrders:
    """Makes the calls of `ports.WorkerCommands` at the platform's runners."""

    def __init__(
        self, *, connections: http_client.HttpClient, advice_address: str = ""
    ) -> None:
        """Initializes a client.

        Args:
            connections: The connections to use.
            advice_address: ``ip:port`` of the policies' service, if any.
        """
        self._connections = connections
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
            answer = await self._call("/-/run-start", command, body, timeout_ms)
        except http_client.NoAnswerError as error:
            if error.sent:
                return commands.StartOutcome.UNKNOWN, None
            return commands.StartOutcome.UNREACHABLE, None
        said = _decoded(answer)
        return _start_outcome(answer.status, said.reason), said.clock_ms

    async def stop(
        self, command: commands.Stop, timeout_ms: int
    ) -> tuple[commands.StopOutcome, int | None]:
        """Stops a run; see `ports.WorkerCommands`."""
        body = _Stop(
            task=command.task,
            run_id=command.run,
            fencing_token=int(command.token),
        )
        answer = await self._post("/-/run-stop", command, body, timeout_ms)
        if answer is None:
            return commands.StopOutcome.UNKNOWN, None
        return _stop_outcome(answer.status), _decoded(answer).clock_ms

    async def renew_leases(
        self, command: commands.RenewLeases, timeout_ms: int
    ) -> commands.LeaseReport | commands.StopOutcome:
        """Renews leases and asks what runs; see `ports.WorkerCommands`."""
        body = _Hold(
            fencing_token=int(command.token),
            last_seen=command.last_seen,
            until_ms=command.until_ms,
            wait_ms=command.wait_ms,
        )
        answer = await self._post("/-/hold", command, body, timeout_ms)
        if answer is None:
            return commands.StopOutcome.UNKNOWN
        if answer.status != http.HTTPStatus.OK:
            return _stop_outcome(answer.status)
        try:
            return _report(msgspec.json.decode(answer.body, type=_Report))
        except (msgspec.DecodeError, LookupError, ValueError):
            return commands.StopOutcome.UNKNOWN

    async def request_advice(
        self, advice_request: commands.RequestAdvice, timeout_ms: int
    ) -> commands.AdviceAnswer | None:
        """Asks a queue's policy; see `ports.WorkerCommands`."""
        body = _Question(
            step=advice_request.step,
            workers=[worker.worker for worker in advice_request.workers],
        )
        try:
            answer = await self._connections.call(
                "POST",
                self._advice_address,
                "/-/advise",
                timeout_ms,
                headers={"Content-Type": "application/json"},
                body=msgspec.json.encode(body),
            )
            if answer.status != http.HTTPStatus.OK:
                return None
            said = msgspec.json.decode(answer.body, type=_Advice)
        except (http_client.NoAnswerError, msgspec.DecodeError):
            return None
        return commands.AdviceAnswer(
            tickets={ids.WorkerId(name): text for name, text in said.granted},
            valid_ms=int(said.valid_ms),
        )

    async def _post(
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
        return self._connections.call(
            "POST",
            command.worker.address,
            path,
            timeout_ms,
            headers={
                "Content-Type": "application/json",
                EXPECTED_LIFE_HEADER: command.worker.worker,
            },
            body=msgspec.json.encode(body),
        )


def _decoded(answer: http_client.HttpResponse) -> _Answer:
    try:
        return msgspec.json.decode(answer.body, type=_Answer)
    except msgspec.DecodeError:
        return _Answer()


def _start_outcome(status: int, reason: str) -> commands.StartOutcome:
    if status == http.HTTPStatus.OK:
        return commands.StartOutcome.STARTED
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return commands.StartOutcome.OTHER_INCARNATION
    if status == http.HTTPStatus.CONFLICT:
        return _REASONS.get(reason, commands.StartOutcome.NOT_STARTED)
    return commands.StartOutcome.NOT_STARTED


def _stop_outcome(status: int) -> commands.StopOutcome:
    if status == http.HTTPStatus.OK:
        return commands.StopOutcome.STOPPED
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return commands.StopOutcome.OTHER_INCARNATION
    if status == http.HTTPStatus.CONFLICT:
        return commands.StopOutcome.FENCED
    return commands.StopOutcome.UNKNOWN


def _report(report: _Report) -> commands.LeaseReport:
    return commands.LeaseReport(
        clock_ms=report.clock_ms,
        life_ms=report.born,
        running=tuple(map(_running, report.running)),
        ended=tuple(map(_ended, report.finished)),
        complete=len(report.finished) < _MAX_ENDS,
    )


def _running(row: list[typing.Any]) -> commands.RunningTask:
    task, run, saved, percent, *load = row
    return commands.RunningTask(
        task=units.TaskName(task),
        run=run,
        saved=saved,
        percent=percent,
        load=load[0] if load and load[0] is not None else 0,
    )


def _ended(row: tuple[int, str, int, str, str]) -> commands.EndedTask:
    number, task, run, how, saved = row
    return commands.EndedTask(
        number=number,
        task=units.TaskName(task),
        run=run,
        kind=_END_KINDS[how],
        saved=saved,
    )
