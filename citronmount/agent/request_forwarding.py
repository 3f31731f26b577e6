"""Forwards short requests to other VMs, trying them one after another."""

from collections.abc import Callable
import math

import msgspec

from citronmount.agent import context
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import membership_view
from citronmount.peers import peer_messages

__all__ = ["RequestForwarding", "refusal", "outcome_unknown"]

ATTEMPT_TIMEOUT_MS = 1_000
RETRY_AFTER_MS = 1_000

Responder = Callable[[jobs.RequestResult], None]


class _ForwardedRequest(msgspec.Struct, kw_only=True):
    """A request being forwarded.

    Attributes:
        vms: The VMs not tried yet, in order of preference.
        due_ms: Monotonic time at which the request times out.
        repeatable: Whether the next VM may be tried after a timeout.
        uncertain: Whether a VM did not answer and may have run the request.
    """

    spec: jobs.RequestSpec
    body: peer_messages.RunRequest
    vms: list[ids.VmId]
    respond: Responder
    due_ms: int
    repeatable: bool
    uncertain: bool = False


class RequestForwarding:
    """Forwards a request to the first of several VMs that accepts it.

    The next VM is tried after a refusal that allows a retry and proves that
    the request was not run. It is also tried after a timeout if the request
    may be sent twice, either because it is idempotent or because its key is
    not claimed yet and only one VM can claim it. After a timeout, a later
    refusal no longer proves that the request was not run.
    """

    def __init__(
        self, *, ctx: context.Context, view: membership_view.MembershipView
    ) -> None:
        """Initializes without requests.

        Args:
            ctx: The shared context.
            view: Records which VMs left a call unanswered.
        """
        self._ctx = ctx
        self._view = view

    def send(
        self,
        body: peer_messages.RunRequest,
        vms: list[ids.VmId],
        respond: Responder,
        *,
        repeatable: bool,
    ) -> None:
        """Forwards a request to one of several VMs.

        Args:
            body: The request.
            vms: At least one VM, in order of preference. VMs that left a call
                unanswered and sent no heartbeat since are tried last.
            respond: Called once with the final answer.
            repeatable: Whether the next VM may be tried after a timeout.
        """
        now_ms = self._ctx.now_ms
        unresponsive = [vm for vm in vms if not self._view.is_responsive(vm)]
        responsive = [vm for vm in vms if self._view.is_responsive(vm)]
        forwarded = _ForwardedRequest(
            spec=body.spec,
            body=body,
            vms=[*responsive, *unresponsive],
            respond=respond,
            due_ms=now_ms + body.spec.timeout_ms,
            repeatable=repeatable,
        )
        self._send_to_next_vm(forwarded)

    def call(
        self,
        to: ids.VmId,
        body: peer_messages.RunRequest,
        timeout_ms: int,
        on_answer: Callable[[jobs.RequestResult | None], None],
    ) -> None:
        """Forwards a request to one VM.

        Args:
            to: The VM.
            body: The request.
            timeout_ms: Time after which the call counts as unanswered.
            on_answer: Called with the answer, or with None without one.
        """
        call = self._ctx.new_call()

        def handle_answer(message: peer_messages.ForwardAnswer | None) -> None:
            if message is None:
                self._view.record_unanswered_call(to, self._ctx.now_ms)
            on_answer(None if message is None else _result(message, body))

        forward = peer_messages.Forward(
            call=call, body=body, timeout_ms=timeout_ms
        )
        self._ctx.call_peer(
            to, call, forward, handle_answer, timeout_ms=timeout_ms
        )

    def _send_to_next_vm(self, forwarded: _ForwardedRequest) -> None:
        to = forwarded.vms.pop(0)
        remaining_ms = max(forwarded.due_ms - self._ctx.now_ms, 1)
        can_try_next = forwarded.repeatable and forwarded.vms
        timeout_ms = min(
            remaining_ms, ATTEMPT_TIMEOUT_MS if can_try_next else math.inf
        )
        self.call(
            to,
            forwarded.body,
            int(timeout_ms),
            lambda result: self._handle_answer(forwarded, result),
        )

    def _handle_answer(
        self, forwarded: _ForwardedRequest, result: jobs.RequestResult | None
    ) -> None:
        in_time = self._ctx.now_ms < forwarded.due_ms
        can_try_next = bool(forwarded.vms) and in_time
        if result is None:
            forwarded.uncertain = True
            if can_try_next and forwarded.repeatable:
                self._send_to_next_vm(forwarded)
            else:
                forwarded.respond(outcome_unknown(forwarded.spec.request))
            return
        info = codes.info(result.code)
        if info.proves_not_run and info.retry and can_try_next:
            self._send_to_next_vm(forwarded)
        elif info.proves_not_run and forwarded.uncertain:
            forwarded.respond(outcome_unknown(forwarded.spec.request))
        else:
            forwarded.respond(result)


def refusal(
    request: ids.RequestId, code: codes.ResultCode
) -> jobs.RequestResult:
    """Returns the refusal of a request.

    Args:
        request: Id of the request.
        code: Result code of the refusal.

    Returns:
        The refusal, with a retry delay if the code allows a retry.
    """
    retry = codes.info(code).retry
    return jobs.RequestResult(
        request=request,
        code=code,
        retry_after_ms=RETRY_AFTER_MS if retry else None,
    )


def outcome_unknown(request: ids.RequestId) -> jobs.RequestResult:
    """Returns the answer to a request whose outcome is unknown.

    Args:
        request: Id of the request.
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
