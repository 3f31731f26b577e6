"""Handles short requests: claims keys, calls runners and answers callers."""

from collections.abc import Callable
import hashlib

import msgspec

from citronmount.agent import claims as claims_lib
from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import homes
from citronmount.agent import request_forwarding
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import request_decisions
from citronmount.core import request_router
from citronmount.membership import membership_view
from citronmount.membership import rendezvous
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["RequestHandler"]

MAX_REMOTE_VMS = 4

Responder = Callable[[jobs.RequestResult], None]


class _OpenRequest(msgspec.Struct, kw_only=True):
    """A request that has not been answered yet.

    Attributes:
        caller_id: The request id that the caller has chosen.
        claim: The granted claim of the request's key, if it was claimed here.
    """

    caller_id: ids.RequestId
    spec: jobs.RequestSpec
    responders: list[Responder]
    claim: records.KeyClaimed | None = None


class RequestHandler:
    """Accepts short requests from callers and peers and answers each once.

    A request that is not idempotent and has a key is run only after its key
    is claimed in its home failure domain. One without a key is not claimed;
    it is not sent again once it may have run.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        config_manager: configuration_manager.ConfigurationManager,
        claims: claims_lib.Claims,
    ) -> None:
        """Initializes a handler without runners.

        Args:
            ctx: The shared context.
            view: Determines which VMs are alive.
            config_manager: Provides the configuration in force.
            claims: Claims idempotency keys.
        """
        self.router = request_router.RequestRouter(vm=ctx.settings.vm)
        self._ctx = ctx
        self._view = view
        self._configuration = config_manager
        self._claims = claims
        self._runners: dict[ids.RunnerId, messages.ListedTarget] = {}
        self._open: dict[ids.RequestId, _OpenRequest] = {}
        self._open_by_key: dict[str, ids.RequestId] = {}
        self._claiming: dict[str, list[tuple[jobs.RequestSpec, Responder]]] = {}
        self._forwarding = request_forwarding.RequestForwarding(
            ctx=ctx, view=view
        )

    def set_runners(self, runners: tuple[messages.ListedTarget, ...]) -> None:
        """Sets the runners that requests are sent to.

        Args:
            runners: The runners of the local failure domain, from the
                platform's list.
        """
        self._runners = {
            ids.RunnerId(runner.name): runner for runner in runners
        }
        self.router.set_runners(runners)
        for name, runner in self._runners.items():
            self.router.set_runner_state(name, runner.state)

    def set_configuration(self, current: configuration.Configuration) -> None:
        """Applies a new version of the configuration.

        Args:
            current: The configuration in force.
        """
        own = self._ctx.settings.failure_domain
        self.router.set_in_service(homes.in_service(current, own))
        for account in current.accounts:
            self.router.set_account_class(account.name, account.account_class)

    def has_open_work(self) -> bool:
        """Returns whether any request has not been answered yet."""
        return bool(self._open or self._claiming)

    def submit(
        self,
        spec: jobs.RequestSpec,
        respond: Responder,
        *,
        claimed: bool = False,
        offered: bool = False,
    ) -> None:
        """Submits a request.

        Args:
            spec: The request, with the caller's request id.
            respond: Called once with the final answer.
            claimed: Whether the sending VM has already claimed the key, if
                the request has one.
            offered: Whether the request is an offer of another VM, which is
                refused unless it can start at once.
        """
        refusal_code = self._refusal_code(spec)
        if refusal_code is not None:
            respond(request_forwarding.refusal(spec.request, refusal_code))
            return
        keyed = not spec.idempotent and bool(spec.idempotency_key)
        if keyed and not claimed:
            self._submit_keyed(spec, respond)
        elif self._can_run_here() or claimed:
            self._run(spec, respond, claim=None, offered=offered)
        else:
            self._run_remotely(spec, respond)

    def apply_decisions(self) -> None:
        """Carries out the current decisions of the request router."""
        for decision in self.router.decide(self._ctx.now_ms):
            match decision:
                case request_decisions.Send():
                    self._send(decision)
                case request_decisions.Offer():
                    self._offer(decision)
                case request_decisions.Finish(result=result):
                    self._finish(result)

    def _refusal_code(self, spec: jobs.RequestSpec) -> codes.ResultCode | None:
        if not self._configuration.usable:
            return codes.ResultCode.NO_CONFIGURATION
        current = self._configuration.fold.current
        if all(account.name != spec.account for account in current.accounts):
            return codes.ResultCode.UNKNOWN_ACCOUNT
        return None

    def _can_run_here(self) -> bool:
        current = self._configuration.fold.current
        own = self._ctx.settings.failure_domain
        return bool(self._runners) and homes.in_service(current, own)

    def _submit_keyed(self, spec: jobs.RequestSpec, respond: Responder) -> None:
        home = homes.home_of_key(
            self._configuration.fold.current,
            spec.account,
            spec.idempotency_key,
        )
        own = self._ctx.settings.failure_domain
        if home == own and self._view.ready:
            self._claim_key_and_run(spec, respond)
            return
        vms = (
            []
            if home is None
            else self._view.candidates(home, self._ctx.now_ms)
        )
        if not vms:
            code = codes.ResultCode.HOME_UNREACHABLE
            respond(request_forwarding.refusal(spec.request, code))
            return
        ranked = rendezvous.rank(spec.idempotency_key, vms)
        self._forwarding.send(
            peer_messages.RunRequest(spec=spec),
            [ids.VmId(vm) for vm in ranked],
            _respond_with_id(spec.request, respond),
            repeatable=True,
        )

    def _claim_key_and_run(
        self, spec: jobs.RequestSpec, respond: Responder
    ) -> None:
        if not self._view.ready:
            respond(
                request_forwarding.refusal(
                    spec.request, codes.ResultCode.REBUILDING
                )
            )
            return
        key = _key_of(spec)
        open_id = self._open_by_key.get(key)
        if open_id is not None:
            self._join_open_request(open_id, spec, respond)
            return
        pending = self._claiming.get(key)
        if pending is not None:
            self._join_pending_claim(pending, spec, respond)
            return
        self._claiming[key] = [(spec, respond)]
        self._claims.claim(
            key,
            _body_digest(spec),
            lambda outcome: self._on_claim_outcome(spec, outcome),
        )

    def _join_pending_claim(
        self,
        pending: list[tuple[jobs.RequestSpec, Responder]],
        spec: jobs.RequestSpec,
        respond: Responder,
    ) -> None:
        """Lets a repeated call wait for the pending claim of its key."""
        first, _ = pending[0]
        if _body_digest(first) != _body_digest(spec):
            code = codes.ResultCode.KEY_REUSED
            respond(request_forwarding.refusal(spec.request, code))
            return
        pending.append((spec, respond))

    def _join_open_request(
        self,
        open_id: ids.RequestId,
        spec: jobs.RequestSpec,
        respond: Responder,
    ) -> None:
        """Answers a repeated call with the result of the open request."""
        open_request = self._open[open_id]
        if _body_digest(open_request.spec) != _body_digest(spec):
            code = codes.ResultCode.KEY_REUSED
            respond(request_forwarding.refusal(spec.request, code))
            return
        open_request.responders.append(_respond_with_id(spec.request, respond))

    def _on_claim_outcome(
        self, spec: jobs.RequestSpec, outcome: claims_lib.ClaimOutcome
    ) -> None:
        pending = self._claiming.pop(_key_of(spec))
        responders = [
            _respond_with_id(each.request, respond) for each, respond in pending
        ]

        def respond_all(result: jobs.RequestResult) -> None:
            for respond in responders:
                respond(result)

        if outcome.granted:
            self._ctx.trace(
                timeline_events.EventKind.KEY_CLAIMED,
                request=spec.request,
                account=spec.account,
                detail=spec.idempotency_key,
            )
            self._run_claimed(spec, respond_all, outcome.claim)
        else:
            self._answer_rejected_claim(spec, respond_all, outcome)

    def _run_claimed(
        self,
        spec: jobs.RequestSpec,
        respond: Responder,
        claim: records.KeyClaimed,
    ) -> None:
        if self._can_run_here():
            self._run(spec, respond, claim=claim, offered=False)
            return
        request_id = self._unique_request_id(spec)
        self._add_open_request(request_id, spec, respond, claim)
        self._finish_remotely(request_id)

    def _answer_rejected_claim(
        self,
        spec: jobs.RequestSpec,
        respond: Responder,
        outcome: claims_lib.ClaimOutcome,
    ) -> None:
        """Answers a call whose claim was rejected.

        While the result of the conflicting claim is unknown, the call is
        forwarded to the VM that made that claim, if it is alive.
        """
        holder = outcome.holder
        if holder is not None and holder.body_digest != _body_digest(spec):
            code = codes.ResultCode.KEY_REUSED
            respond(request_forwarding.refusal(spec.request, code))
        elif outcome.result is not None:
            respond(outcome.result.result)
        elif holder is None:
            code = codes.ResultCode.NOT_DURABLE
            respond(request_forwarding.refusal(spec.request, code))
        elif self._is_live_peer(holder.vm):
            self._forwarding.send(
                peer_messages.RunRequest(spec=spec),
                [holder.vm],
                respond,
                repeatable=False,
            )
        else:
            respond(request_forwarding.outcome_unknown(spec.request))

    def _is_live_peer(self, vm: ids.VmId) -> bool:
        own = vm == self._ctx.settings.vm
        return not own and self._view.is_alive(vm, self._ctx.now_ms)

    def _run_remotely(self, spec: jobs.RequestSpec, respond: Responder) -> None:
        """Forwards a request to VMs of other failure domains in service."""
        current = self._configuration.fold.current
        vms = [
            vm
            for domain in current.failure_domains
            if domain.name != self._ctx.settings.failure_domain
            and homes.in_service(current, domain.name)
            for vm in self._view.candidates(domain.name, self._ctx.now_ms)
        ]
        if not vms:
            code = codes.ResultCode.FAILURE_DOMAIN_OUT
            respond(request_forwarding.refusal(spec.request, code))
            return
        ranked = rendezvous.rank(spec.request, vms)
        self._forwarding.send(
            peer_messages.RunRequest(spec=spec, claimed=True),
            [ids.VmId(vm) for vm in ranked[:MAX_REMOTE_VMS]],
            _respond_with_id(spec.request, respond),
            repeatable=spec.idempotent,
        )

    def _run(
        self,
        spec: jobs.RequestSpec,
        respond: Responder,
        *,
        claim: records.KeyClaimed | None,
        offered: bool,
    ) -> None:
        request_id = self._unique_request_id(spec)
        routed_spec = msgspec.structs.replace(spec, request=request_id)
        refusal = self.router.submit(
            routed_spec, self._ctx.now_ms, offered=offered
        )
        if refusal is not None:
            if claim is not None:
                self._claims.record_result(claim, refusal)
            respond(_with_request_id(refusal, spec.request))
            return
        self._add_open_request(request_id, spec, respond, claim)

    def _unique_request_id(self, spec: jobs.RequestSpec) -> ids.RequestId:
        return ids.RequestId(f"{spec.request}~{self._ctx.unique_id()}")

    def _add_open_request(
        self,
        request_id: ids.RequestId,
        spec: jobs.RequestSpec,
        respond: Responder,
        claim: records.KeyClaimed | None,
    ) -> None:
        self._open[request_id] = _OpenRequest(
            caller_id=spec.request,
            spec=spec,
            responders=[respond],
            claim=claim,
        )
        if claim is not None:
            self._open_by_key[claim.key] = request_id

    def _finish_remotely(self, request_id: ids.RequestId) -> None:
        """Forwards an open request and answers it with the result."""
        spec = self._open[request_id].spec

        def handle_answer(result: jobs.RequestResult) -> None:
            self._answer(_with_request_id(result, request_id))

        self._run_remotely(spec, handle_answer)

    def _send(self, decision: request_decisions.Send) -> None:
        open_request = self._open.get(decision.request)
        runner = self._runners.get(decision.runner)
        if open_request is None or runner is None:
            self.router.record_answer(
                decision.request,
                decision.runner,
                None,
                sent=False,
                now_ms=self._ctx.now_ms,
                attempt=decision.attempt,
            )
            return
        self._ctx.trace(
            timeline_events.EventKind.REQUEST_SENT,
            request=decision.request,
            account=open_request.spec.account,
            target=decision.runner,
            count=decision.attempt,
        )
        call = effects.CallRunner(
            call=self._ctx.new_call(),
            runner=decision.runner,
            address=runner.address,
            spec=msgspec.structs.replace(
                open_request.spec, request=decision.request
            ),
            timeout_ms=decision.timeout_ms,
        )

        def handle_answer(event: events.RunnerAnswered) -> None:
            self.router.record_answer(
                decision.request,
                decision.runner,
                event.answer,
                sent=event.sent,
                now_ms=self._ctx.now_ms,
                attempt=decision.attempt,
            )

        self._ctx.call_runner(call, handle_answer)

    def _offer(self, decision: request_decisions.Offer) -> None:
        open_request = self._open[decision.request]

        body = peer_messages.RunRequest(
            spec=msgspec.structs.replace(
                open_request.spec,
                request=decision.request,
                timeout_ms=decision.timeout_ms,
            ),
            claimed=True,
            offered=True,
        )

        def handle_answer(result: jobs.RequestResult | None) -> None:
            self.router.record_peer_answer(
                decision.request, result, self._ctx.now_ms
            )

        self._forwarding.call(
            decision.vm, body, decision.timeout_ms, handle_answer
        )

    def _finish(self, result: jobs.RequestResult) -> None:
        out_of_service = result.code is codes.ResultCode.FAILURE_DOMAIN_OUT
        if out_of_service and result.request in self._open:
            self._finish_remotely(result.request)
        else:
            self._answer(result)

    def _answer(self, result: jobs.RequestResult) -> None:
        open_request = self._open.pop(result.request, None)
        if open_request is None:
            return
        if open_request.claim is not None:
            self._open_by_key.pop(open_request.claim.key, None)
            self._claims.record_result(
                open_request.claim,
                _with_request_id(result, open_request.caller_id),
            )
        self._ctx.trace(
            timeline_events.EventKind.REQUEST_ANSWERED,
            request=result.request,
            account=open_request.spec.account,
            code=int(result.code),
        )
        for respond in open_request.responders:
            respond(_with_request_id(result, open_request.caller_id))


def _key_of(spec: jobs.RequestSpec) -> str:
    return f"request/{spec.account}/{spec.idempotency_key}"


def _body_digest(spec: jobs.RequestSpec) -> str:
    body = spec.payload.encode()
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def _with_request_id(
    result: jobs.RequestResult, request: ids.RequestId
) -> jobs.RequestResult:
    return msgspec.structs.replace(result, request=request)


def _respond_with_id(request: ids.RequestId, respond: Responder) -> Responder:
    return lambda result: respond(_with_request_id(result, request))
