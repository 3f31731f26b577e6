"""Serves short requests: claims, runners, peers and answers."""

from collections.abc import Callable
import hashlib

import msgspec

from citronmount.agent import claims as claims_lib
from citronmount.agent import configuration as configuration_lib
from citronmount.agent import context
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import homes
from citronmount.agent import request_forwarding
from citronmount.config import configuration
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import request_decisions
from citronmount.core import short_requests
from citronmount.membership import rendezvous
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages
from citronmount.services import messages
from citronmount.state import records
from citronmount.telemetry import events as timeline

__all__ = ["RequestHandler"]

ELSEWHERE_TRIES = 4

Respond = Callable[[jobs.RequestResult], None]


class _Open(msgspec.Struct, kw_only=True):
    """A request at the router and whom to answer."""

    caller_id: ids.RequestId
    spec: jobs.RequestSpec
    responders: list[Respond]
    claim: records.KeyClaimed | None = None


class RequestHandler:
    """Takes short requests from callers and peers and answers each once.

    A request that is not idempotent and has a key is run only under a claim
    of its home failure domain. One without a key is run by the VM that the
    caller has reached and sent to one runner at most.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        configuration_manager: configuration_lib.ConfigurationManager,
        claims: claims_lib.Claims,
    ) -> None:
        """Initializes a desk without runners.

        Args:
            ctx: The shared context.
            view: Which peers live.
            configuration_manager: The configuration in force.
            claims: Claims keys.
        """
        self.router = short_requests.RequestRouter(vm=ctx.settings.vm)
        self._ctx = ctx
        self._view = view
        self._configuration = configuration_manager
        self._claims = claims
        self._runners: dict[ids.RunnerId, messages.ListedTarget] = {}
        self._open: dict[ids.RequestId, _Open] = {}
        self._by_key: dict[str, ids.RequestId] = {}
        self._claiming: dict[str, list[tuple[jobs.RequestSpec, Respond]]] = {}
        self._forwarding = request_forwarding.RequestForwarding(
            ctx=ctx, view=view
        )

    def set_runners(self, runners: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the platform's list of runners.

        Args:
            runners: The runners of the own failure domain.
        """
        self._runners = {
            ids.RunnerId(runner.name): runner for runner in runners
        }
        self.router.set_runners(runners)
        for name, runner in self._runners.items():
            self.router.set_runner_state(name, runner.state)

    def set_configuration(self, current: configuration.Configuration) -> None:
        """Takes over a new version.

        Args:
            current: The version in force.
        """
        own = self._ctx.settings.failure_domain
        self.router.set_in_service(homes.in_service(current, own))
        for account in current.accounts:
            self.router.set_account_class(account.name, account.account_class)

    def has_open_work(self) -> bool:
        """Returns whether any caller still waits."""
        return bool(self._open or self._claiming)

    def submit(
        self,
        spec: jobs.RequestSpec,
        respond: Respond,
        *,
        claimed: bool = False,
        offered: bool = False,
    ) -> None:
        """Takes a request.

        Args:
            spec: The request, with the caller's id.
            respond: Told the one final answer.
            claimed: Whether a peer has claimed the key, if there is one.
            offered: Whether a peer only offers it, to be run at once or not.
        """
        refusal = self._refusal(spec)
        if refusal is not None:
            respond(request_forwarding.refusal(spec.request, refusal))
            return
        keyed = not spec.idempotent and bool(spec.idempotency_key)
        if keyed and not claimed:
            self._arrive_keyed(spec, respond)
        elif self._can_run_here() or claimed:
            self._run(spec, respond, claim=None, offered=offered)
        else:
            self._run_elsewhere(spec, respond)

    def apply_decisions(self) -> None:
        """Carries out what the router decides now."""
        for decision in self.router.decide(self._ctx.now_ms):
            match decision:
                case request_decisions.Send():
                    self._send(decision)
                case request_decisions.Offer():
                    self._offer(decision)
                case request_decisions.Finish(result=result):
                    self._finish(result)

    def _refusal(self, spec: jobs.RequestSpec) -> codes.ResultCode | None:
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

    def _arrive_keyed(self, spec: jobs.RequestSpec, respond: Respond) -> None:
        home = homes.home_of_key(
            self._configuration.fold.current,
            spec.account,
            spec.idempotency_key,
        )
        own = self._ctx.settings.failure_domain
        if home == own and self._view.ready:
            self._claim(spec, respond)
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
            _with_id(spec.request, respond),
            repeatable=True,
        )

    def _claim(self, spec: jobs.RequestSpec, respond: Respond) -> None:
        if not self._view.ready:
            respond(
                request_forwarding.refusal(
                    spec.request, codes.ResultCode.REBUILDING
                )
            )
            return
        key = _claim_key(spec)
        running = self._by_key.get(key)
        if running is not None:
            self._join(running, spec, respond)
            return
        waiting = self._claiming.get(key)
        if waiting is not None:
            self._wait(waiting, spec, respond)
            return
        self._claiming[key] = [(spec, respond)]
        self._claims.claim(
            key,
            _digest(spec),
            lambda outcome: self._claimed(spec, outcome),
        )

    def _wait(
        self,
        waiting: list[tuple[jobs.RequestSpec, Respond]],
        spec: jobs.RequestSpec,
        respond: Respond,
    ) -> None:
        """Lets a second call of a key wait for the claim of the first."""
        first, _ = waiting[0]
        if _digest(first) != _digest(spec):
            code = codes.ResultCode.KEY_REUSED
            respond(request_forwarding.refusal(spec.request, code))
            return
        waiting.append((spec, respond))

    def _join(
        self,
        running: ids.RequestId,
        spec: jobs.RequestSpec,
        respond: Respond,
    ) -> None:
        """Answers a second call of a key with the answer of the first."""
        opened = self._open[running]
        if _digest(opened.spec) != _digest(spec):
            code = codes.ResultCode.KEY_REUSED
            respond(request_forwarding.refusal(spec.request, code))
            return
        opened.responders.append(_with_id(spec.request, respond))

    def _claimed(
        self, spec: jobs.RequestSpec, outcome: claims_lib.ClaimOutcome
    ) -> None:
        waiting = self._claiming.pop(_claim_key(spec))
        responders = [
            _with_id(each.request, respond) for each, respond in waiting
        ]

        def respond_all(result: jobs.RequestResult) -> None:
            for respond in responders:
                respond(result)

        if outcome.granted:
            self._ctx.trace(
                timeline.EventKind.KEY_CLAIMED,
                request=spec.request,
                account=spec.account,
                detail=spec.idempotency_key,
            )
            self._run_claimed(spec, respond_all, outcome.claim)
        else:
            self._answer_held(spec, respond_all, outcome)

    def _run_claimed(
        self,
        spec: jobs.RequestSpec,
        respond: Respond,
        claim: records.KeyClaimed,
    ) -> None:
        if self._can_run_here():
            self._run(spec, respond, claim=claim, offered=False)
            return
        unique = self._unique(spec)
        self._enter(unique, spec, respond, claim)
        self._send_elsewhere(unique)

    def _answer_held(
        self,
        spec: jobs.RequestSpec,
        respond: Respond,
        outcome: claims_lib.ClaimOutcome,
    ) -> None:
        """Answers a call whose key another call has claimed."""
        holder = outcome.holder
        if holder is not None and holder.body_digest != _digest(spec):
            code = codes.ResultCode.KEY_REUSED
            respond(request_forwarding.refusal(spec.request, code))
        elif outcome.result is not None:
            respond(outcome.result.result)
        elif holder is None:
            code = codes.ResultCode.NOT_DURABLE
            respond(request_forwarding.refusal(spec.request, code))
        elif self._may_know(holder.vm):
            self._forwarding.send(
                peer_messages.RunRequest(spec=spec),
                [holder.vm],
                respond,
                repeatable=False,
            )
        else:
            respond(request_forwarding.outcome_unknown(spec.request))

    def _may_know(self, vm: ids.VmId) -> bool:
        """Returns whether another VM can tell what became of its claim."""
        own = vm == self._ctx.settings.vm
        return not own and self._view.is_alive(vm, self._ctx.now_ms)

    def _run_elsewhere(self, spec: jobs.RequestSpec, respond: Respond) -> None:
        """Lets a VM of another failure domain in service run a request."""
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
            [ids.VmId(vm) for vm in ranked[:ELSEWHERE_TRIES]],
            _with_id(spec.request, respond),
            repeatable=spec.idempotent,
        )

    def _run(
        self,
        spec: jobs.RequestSpec,
        respond: Respond,
        *,
        claim: records.KeyClaimed | None,
        offered: bool,
    ) -> None:
        unique = self._unique(spec)
        inner = msgspec.structs.replace(spec, request=unique)
        refusal = self.router.submit(inner, self._ctx.now_ms, offered=offered)
        if refusal is not None:
            if claim is not None:
                self._claims.record_result(claim, refusal)
            respond(_for_caller(refusal, spec.request))
            return
        self._enter(unique, spec, respond, claim)

    def _unique(self, spec: jobs.RequestSpec) -> ids.RequestId:
        return ids.RequestId(f"{spec.request}~{self._ctx.unique_id()}")

    def _enter(
        self,
        unique: ids.RequestId,
        spec: jobs.RequestSpec,
        respond: Respond,
        claim: records.KeyClaimed | None,
    ) -> None:
        self._open[unique] = _Open(
            caller_id=spec.request,
            spec=spec,
            responders=[respond],
            claim=claim,
        )
        if claim is not None:
            self._by_key[claim.key] = unique

    def _send_elsewhere(self, unique: ids.RequestId) -> None:
        """Lets another failure domain run a request that is entered here."""
        spec = self._open[unique].spec

        def answered(result: jobs.RequestResult) -> None:
            self._answer(_for_caller(result, unique))

        self._run_elsewhere(spec, answered)

    def _send(self, decision: request_decisions.Send) -> None:
        opened = self._open.get(decision.request)
        runner = self._runners.get(decision.runner)
        if opened is None or runner is None:
            self.router.answered(
                decision.request,
                decision.runner,
                None,
                sent=False,
                now_ms=self._ctx.now_ms,
                attempt=decision.attempt,
            )
            return
        self._ctx.trace(
            timeline.EventKind.REQUEST_SENT,
            request=decision.request,
            account=opened.spec.account,
            target=decision.runner,
            count=decision.attempt,
        )
        call = effects.CallRunner(
            call=self._ctx.new_call(),
            runner=decision.runner,
            address=runner.address,
            spec=msgspec.structs.replace(opened.spec, request=decision.request),
            timeout_ms=decision.timeout_ms,
        )

        def answered(event: events.RunnerAnswered) -> None:
            self.router.answered(
                decision.request,
                decision.runner,
                event.answer,
                sent=event.sent,
                now_ms=self._ctx.now_ms,
                attempt=decision.attempt,
            )

        self._ctx.call_runner(call, answered)

    def _offer(self, decision: request_decisions.Offer) -> None:
        opened = self._open[decision.request]

        body = peer_messages.RunRequest(
            spec=msgspec.structs.replace(
                opened.spec,
                request=decision.request,
                timeout_ms=decision.timeout_ms,
            ),
            claimed=True,
            offered=True,
        )

        def answered(result: jobs.RequestResult | None) -> None:
            self.router.peer_answered(
                decision.request, result, self._ctx.now_ms
            )

        self._forwarding.call(decision.vm, body, decision.timeout_ms, answered)

    def _finish(self, result: jobs.RequestResult) -> None:
        out = result.code is codes.ResultCode.FAILURE_DOMAIN_OUT
        if out and result.request in self._open:
            self._send_elsewhere(result.request)
        else:
            self._answer(result)

    def _answer(self, result: jobs.RequestResult) -> None:
        opened = self._open.pop(result.request, None)
        if opened is None:
            return
        if opened.claim is not None:
            self._by_key.pop(opened.claim.key, None)
            self._claims.record_result(
                opened.claim, _for_caller(result, opened.caller_id)
            )
        self._ctx.trace(
            timeline.EventKind.REQUEST_ANSWERED,
            request=result.request,
            account=opened.spec.account,
            code=int(result.code),
        )
        for respond in opened.responders:
            respond(_for_caller(result, opened.caller_id))


def _claim_key(spec: jobs.RequestSpec) -> str:
    return f"request/{spec.account}/{spec.idempotency_key}"


def _digest(spec: jobs.RequestSpec) -> str:
    body = spec.payload.encode()
    return hashlib.blake2b(body, digest_size=8).hexdigest()


def _for_caller(
    result: jobs.RequestResult, request: ids.RequestId
) -> jobs.RequestResult:
    return msgspec.structs.replace(result, request=request)


def _with_id(request: ids.RequestId, respond: Respond) -> Respond:
    return lambda result: respond(_for_caller(result, request))
