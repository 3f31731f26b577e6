"""Sends short requests on to other VMs, one after another."""

from collections.abc import Callable
import math

import msgspec

from citronmount.agent import context
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages

__all__ = ["RequestForwarding", "refusal", "outcome_unknown"]

TRY_MS = 1_000
RETRY_AFTER_MS = 1_000

Respond = Callable[[jobs.RequestResult], None]


class _Journey(msgspec.Struct, kw_only=True):
    """A request on its way through several VMs."""

    spec: jobs.RequestSpec
    body: peer_messages.RunRequest
    vms: list[ids.VmId]
    respond: Respond
    due_ms: int
    repeatable: bool
    uncertain: bool = False


class RequestForwarding:
    """Sends a request to the first of some VMs that takes it.

    A refusal that proves that the request was not run leads to the next VM.
    So does silence, if the request may be sent twice: because it is
    idempotent, or because its key is still to be claimed, which only one VM
    can. After silence no later refusal proves anything any more.
    """

    def __init__(
        self, *, ctx: context.Context, view: view_lib.MembershipView
    ) -> None:
        """Initializes without requests.

        Args:
            ctx: The shared context.
            view: Told of VMs that do not answer.
        """
        self._ctx = ctx
        self._view = view

    def send(
        self,
        body: peer_messages.RunRequest,
        vms: list[ids.VmId],
        respond: Respond,
        *,
        repeatable: bool,
    ) -> None:
        """Sends a request on.

        Args:
            body: The request.
            vms: At least one VM; those that left a call unanswered and were
                not heard since are tried last.
            respond: Told the one final answer.
            repeatable: Whether it may be sent on after silence.
        """
        now_ms = self._ctx.now_ms
        silent = [vm for vm in vms if not self._view.is_responsive(vm)]
        answering = [vm for vm in vms if self._view.is_responsive(vm)]
        journey = _Journey(
            spec=body.spec,
            body=body,
            vms=[*answering, *silent],
            respond=respond,
            due_ms=now_ms + body.spec.timeout_ms,
            repeatable=repeatable,
        )
        self._next(journey)

    def call(
        self,
        to: ids.VmId,
        body: peer_messages.RunRequest,
        timeout_ms: int,
        on_answer: Callable[[jobs.RequestResult | None], None],
    ) -> None:
        """Sends a request to one VM.

        Args:
            to: The VM.
            body: The request.
            timeout_ms: When to give up.
            on_answer: Told the answer, or None without one.
        """
        call = self._ctx.new_call()

        def answered(message: peer_messages.ForwardAnswer | None) -> None:
            if message is None:
                self._view.record_unanswered_call(to, self._ctx.now_ms)
            on_answer(None if message is None else _result(message, body))

        forward = peer_messages.Forward(
            call=call, body=body, timeout_ms=timeout_ms
        )
        self._ctx.call_peer(to, call, forward, answered, timeout_ms=timeout_ms)

    def _next(self, journey: _Journey) -> None:
        to = journey.vms.pop(0)
        left_ms = max(journey.due_ms - self._ctx.now_ms, 1)
        may_go_on = journey.repeatable and journey.vms
        timeout_ms = min(left_ms, TRY_MS if may_go_on else math.inf)
        self.call(
            to,
            journey.body,
            int(timeout_ms),
            lambda result: self._answered(journey, result),
        )

    def _answered(
        self, journey: _Journey, result: jobs.RequestResult | None
    ) -> None:
        in_time = self._ctx.now_ms < journey.due_ms
        may_go_on = bool(journey.vms) and in_time
        if result is None:
            journey.uncertain = True
            if may_go_on and journey.repeatable:
                self._next(journey)
            else:
                journey.respond(outcome_unknown(journey.spec.request))
            return
        info = codes.info(result.code)
        if info.proves_not_run and info.retry and may_go_on:
            self._next(journey)
        elif info.proves_not_run and journey.uncertain:
            journey.respond(outcome_unknown(journey.spec.request))
        else:
            journey.respond(result)


def refusal(
    request: ids.RequestId, code: codes.ResultCode
) -> jobs.RequestResult:
    """Returns a refusal.

    Args:
        request: The request.
        code: Why it is refused.

    Returns:
        The refusal, with the time to come back if that may help.
    """
    retry = codes.info(code).retry
    return jobs.RequestResult(
        request=request,
        code=code,
        retry_after_ms=RETRY_AFTER_MS if retry else None,
    )


def outcome_unknown(request: ids.RequestId) -> jobs.RequestResult:
    """Returns the answer to a request of which nothing more is known.

    Args:
        request: The request.
    """
    return jobs.RequestResult(
        request=request, code=codes.ResultCode.OUTCOME_UNKNOWN
    )


def _result(
    message: peer_messages.ForwardAnswer, body: peer_messages.RunRequest
) -> jobs.RequestResult | None:
    match message.body:
        case peer_messages.RequestAnswer(result=result):
            return result
        case peer_messages.Failure(result=failure):
            return refusal(body.spec.request, failure.code)
    return None
