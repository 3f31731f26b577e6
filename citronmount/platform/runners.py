"""Orders to the platform's runners."""

import http
import typing

import msgspec
from twisted.internet import defer

from citronmount.core import ids
from citronmount.fleet import orders
from citronmount.services import exchange
from citronmount.workflow import units

__all__ = ["RunnerOrders"]

EXPECTED_LIFE_HEADER = "Citronmount-Expect-Instance"

_END_KINDS = {
    "done": orders.EndKind.DONE,
    "failed": orders.EndKind.FAILED,
    "stopped": orders.EndKind.STOPPED,
    "lapsed": orders.EndKind.LAPSED,
    "broken": orders.EndKind.MEMBER_LOST,
    "alone": orders.EndKind.MEMBER_MISSING,
}
_REASONS = {
    "fence": orders.StartVerdict.FENCED,
    "old": orders.StartVerdict.OLD_RUN,
    "late": orders.StartVerdict.LATE,
    "room": orders.StartVerdict.NO_ROOM,
    "ticket": orders.StartVerdict.NO_TICKET,
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
    """Makes the calls of `ports.WorkerOrders` at the platform's runners."""

    def __init__(
        self, *, connections: exchange.Exchange, advice_address: str = ""
    ) -> None:
        """Initializes a client.

        Args:
            connections: The connections to use.
            advice_address: ``ip:port`` of the policies' service, if any.
        """
        self._connections = connections
        self._advice_address = advice_address

    async def start(
        self, order: orders.Start, timeout_ms: int
    ) -> tuple[orders.StartVerdict, int | None]:
        """Starts a task; see `ports.WorkerOrders`."""
        body = _Start(
            task=order.task,
            run_id=order.run,
            spec=order.payload,
            until_ms=order.until_ms,
            fencing_token=int(order.token),
            checkpoint=order.saved,
            ticket=order.ticket,
        )
        try:
            answer = await self._call("/-/run-start", order, body, timeout_ms)
        except exchange.NoAnswerError as error:
            if error.sent:
                return orders.StartVerdict.UNANSWERED, None
            return orders.StartVerdict.UNREACHED, None
        said = _decoded(answer)
        return _start_verdict(answer.status, said.reason), said.clock_ms

    async def stop(
        self, order: orders.Stop, timeout_ms: int
    ) -> tuple[orders.StopVerdict, int | None]:
        """Stops a run; see `ports.WorkerOrders`."""
        body = _Stop(
            task=order.task,
            run_id=order.run,
            fencing_token=int(order.token),
        )
        answer = await self._post("/-/run-stop", order, body, timeout_ms)
        if answer is None:
            return orders.StopVerdict.UNANSWERED, None
        return _stop_verdict(answer.status), _decoded(answer).clock_ms

    async def hold(
        self, order: orders.Hold, timeout_ms: int
    ) -> orders.HoldReport | orders.StopVerdict:
        """Renews leases and asks what runs; see `ports.WorkerOrders`."""
        body = _Hold(
            fencing_token=int(order.token),
            last_seen=order.last_seen,
            until_ms=order.until_ms,
            wait_ms=order.wait_ms,
        )
        answer = await self._post("/-/hold", order, body, timeout_ms)
        if answer is None:
            return orders.StopVerdict.UNANSWERED
        if answer.status != http.HTTPStatus.OK:
            return _stop_verdict(answer.status)
        try:
            return _report(msgspec.json.decode(answer.body, type=_Report))
        except (msgspec.DecodeError, LookupError, ValueError):
            return orders.StopVerdict.UNANSWERED

    async def ask(
        self, question: orders.Ask, timeout_ms: int
    ) -> orders.Grants | None:
        """Asks a queue's policy; see `ports.WorkerOrders`."""
        body = _Question(
            step=question.step,
            workers=[worker.worker for worker in question.workers],
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
        except (exchange.NoAnswerError, msgspec.DecodeError):
            return None
        return orders.Grants(
            tickets={ids.WorkerId(name): text for name, text in said.granted},
            valid_ms=int(said.valid_ms),
        )

    async def _post(
        self,
        path: str,
        order: orders.Order,
        body: msgspec.Struct,
        timeout_ms: int,
    ) -> exchange.Answer | None:
        try:
            return await self._call(path, order, body, timeout_ms)
        except exchange.NoAnswerError:
            return None

    def _call(
        self,
        path: str,
        order: orders.Order,
        body: msgspec.Struct,
        timeout_ms: int,
    ) -> defer.Deferred[exchange.Answer]:
        return self._connections.call(
            "POST",
            order.worker.address,
            path,
            timeout_ms,
            headers={
                "Content-Type": "application/json",
                EXPECTED_LIFE_HEADER: order.worker.worker,
            },
            body=msgspec.json.encode(body),
        )


def _decoded(answer: exchange.Answer) -> _Answer:
    try:
        return msgspec.json.decode(answer.body, type=_Answer)
    except msgspec.DecodeError:
        return _Answer()


def _start_verdict(status: int, reason: str) -> orders.StartVerdict:
    if status == http.HTTPStatus.OK:
        return orders.StartVerdict.STARTED
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return orders.StartVerdict.OTHER_LIFE
    if status == http.HTTPStatus.CONFLICT:
        return _REASONS.get(reason, orders.StartVerdict.NOT_STARTED)
    return orders.StartVerdict.NOT_STARTED


def _stop_verdict(status: int) -> orders.StopVerdict:
    if status == http.HTTPStatus.OK:
        return orders.StopVerdict.STOPPED
    if status == http.HTTPStatus.MISDIRECTED_REQUEST:
        return orders.StopVerdict.OTHER_LIFE
    if status == http.HTTPStatus.CONFLICT:
        return orders.StopVerdict.FENCED
    return orders.StopVerdict.UNANSWERED


def _report(report: _Report) -> orders.HoldReport:
    return orders.HoldReport(
        clock_ms=report.clock_ms,
        life_ms=report.born,
        running=tuple(map(_running, report.running)),
        ended=tuple(map(_ended, report.finished)),
        complete=len(report.finished) < _MAX_ENDS,
    )


def _running(row: list[typing.Any]) -> orders.RunningTask:
    task, run, saved, percent, *load = row
    return orders.RunningTask(
        task=units.TaskName(task),
        run=run,
        saved=saved,
        percent=percent,
        load=load[0] if load and load[0] is not None else 0,
    )


def _ended(row: tuple[int, str, int, str, str]) -> orders.EndedTask:
    number, task, run, how, saved = row
    return orders.EndedTask(
        number=number,
        task=units.TaskName(task),
        run=run,
        kind=_END_KINDS[how],
        saved=saved,
    )
