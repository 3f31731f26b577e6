"""Serves callers' calls, here or through the VM that can."""

import collections
from collections.abc import Callable
import functools

import msgspec

from citronmount.agent import call_answers
from citronmount.agent import capacity_tracker
from citronmount.agent import configuration as configuration_lib
from citronmount.agent import context
from citronmount.agent import job_submission
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import request_desk
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import view as view_lib
from citronmount.peers import messages as peer_messages

__all__ = ["CallDesk"]

FORWARD_TIMEOUT_MS = 1_500
WAIT_MARGIN_MS = 1_000
MAX_WAIT_MS = 60_000
REMEMBERED_CALLS = 50_000
MAX_HOPS = 4

Respond = Callable[[peer_messages.Answer], None]
DomainCall = (
    peer_messages.SubmitJob
    | peer_messages.GetJob
    | peer_messages.CancelJob
    | peer_messages.CancelJobs
    | peer_messages.ListJobs
)


class _Routed(msgspec.Struct, kw_only=True):
    """A call on its way to the owner of a failure domain."""

    failure_domain: ids.FailureDomainId
    body: DomainCall
    respond: Respond
    due_ms: int
    in_flight: bool = False
    sent: bool = False
    uncertain: bool = False


class CallDesk:
    """Finds the owner for each call and answers the caller once.

    Calls are repeated until their time is up; all of them are idempotent,
    since a job's id is fixed before its first submission is sent on.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: view_lib.MembershipView,
        configuration: configuration_lib.ConfigurationKeeper,
        ownership: ownership_lib.Ownership,
        rooms: capacity_tracker.CapacityTracker,
        requests: request_desk.RequestDesk,
    ) -> None:
        """Initializes a desk without calls.

        Args:
            ctx: The shared context.
            view: Which VMs own what.
            configuration: The configuration in force.
            ownership: The own failure domain, if this VM owns it.
            rooms: The room in each failure domain.
            requests: Serves short requests.
        """
        self._ctx = ctx
        self._view = view
        self._configuration = configuration
        self._ownership = ownership
        self._requests = requests
        self._routed: list[_Routed] = []
        self._seen: collections.OrderedDict[ids.CallId, None] = (
            collections.OrderedDict()
        )
        self._submission = job_submission.JobSubmission(
            ctx=ctx,
            configuration=configuration,
            tracker=rooms,
            route=self.route,
        )

    def busy(self) -> bool:
        """Returns whether a call is on its way."""
        return bool(self._routed)

    def handle(self, body: peer_messages.CallerCall, respond: Respond) -> None:
        """Serves a call of a caller that reached this VM.

        Args:
            body: The call.
            respond: Told the answer, once.
        """
        match body:
            case peer_messages.RunRequest():
                self._run_request(body, respond)
            case peer_messages.SubmitJob(spec=spec):
                self._submission.submit(spec, respond)
            case (
                peer_messages.GetJob(job=job) | peer_messages.CancelJob(job=job)
            ):
                self.route(ids.home_of_job(job), body, respond)
            case peer_messages.ListJobs() | peer_messages.CancelJobs():
                self._fan_out(body, respond)
            case peer_messages.PublishConfiguration(change=change):
                self._configuration.publish(change, respond)
            case peer_messages.TimelineQuery():
                respond(peer_messages.TimelineAnswer(events=()))

    def handle_forwarded(
        self, sender: ids.VmId, message: peer_messages.Forward
    ) -> None:
        """Serves a call that another VM has sent on.

        Args:
            sender: The other VM.
            message: The call; a copy of one served before is dropped.
        """
        if message.call in self._seen:
            return
        self._seen[message.call] = None
        while len(self._seen) > REMEMBERED_CALLS:
            self._seen.popitem(last=False)

        def respond(answer: peer_messages.Answer) -> None:
            reply = peer_messages.ForwardAnswer(call=message.call, body=answer)
            self._ctx.send(sender, reply)

        body = message.body
        if isinstance(body, peer_messages.RunRequest):
            self._run_request(body, respond)
        elif isinstance(body, DomainCall):
            self._serve(body, respond)
        else:
            respond(call_answers.failure(codes.ResultCode.INVALID_REQUEST))

    def tick(self) -> None:
        """Sends on what waits and ends what has waited too long."""
        routed, self._routed = self._routed, []
        for call in routed:
            if not call.in_flight:
                self._advance(call)
            elif self._ctx.now_ms < call.due_ms:
                self._routed.append(call)
            else:
                self._give_up(call)

    def _run_request(
        self, body: peer_messages.RunRequest, respond: Respond
    ) -> None:
        def answered(result: jobs.RequestResult) -> None:
            respond(peer_messages.RequestAnswer(result=result))

        if body.spec.timeout_ms <= 0:
            respond(call_answers.failure(codes.ResultCode.DEADLINE_PASSED))
            return
        self._requests.arrive(
            body.spec,
            answered,
            claimed=body.claimed,
            offered=body.offered,
        )

    def route(
        self,
        failure_domain: ids.FailureDomainId,
        body: DomainCall,
        respond: Respond,
    ) -> None:
        """Takes a call to the owner of a failure domain.

        Args:
            failure_domain: The failure domain.
            body: The call.
            respond: Told the answer, once.
        """
        if not self._is_configured(failure_domain):
            respond(
                call_answers.failure(
                    codes.ResultCode.UNKNOWN_JOB, failure_domain
                )
            )
            return
        timeout_ms = self._ctx.settings.call_timeout_ms
        if isinstance(body, peer_messages.GetJob):
            wait_ms = min(body.wait_ms, MAX_WAIT_MS)
            body = msgspec.structs.replace(body, wait_ms=wait_ms)
            timeout_ms += wait_ms
        self._advance(
            _Routed(
                failure_domain=failure_domain,
                body=body,
                respond=respond,
                due_ms=self._ctx.now_ms + timeout_ms,
            )
        )

    def _is_configured(self, failure_domain: ids.FailureDomainId) -> bool:
        """Returns whether a failure domain exists, as far as is known."""
        names = {
            domain.name
            for domain in self._configuration.fold.current.failure_domains
        }
        return not names or failure_domain in names

    def _advance(self, call: _Routed) -> None:
        """Serves a call here, sends it on, or lets it wait."""
        own = call.failure_domain == self._ctx.settings.failure_domain
        if own and self._ownership.domain is not None:
            self._serve(call.body, call.respond)
            return
        if self._ctx.now_ms >= call.due_ms:
            self._give_up(call)
            return
        self._routed.append(call)
        owner = self._view.owner(call.failure_domain, self._ctx.now_ms)
        if owner is not None and owner != self._ctx.settings.vm:
            self._forward(owner, call)

    def _forward(self, owner: ids.VmId, call: _Routed) -> None:
        call.in_flight = True
        call.sent = True
        timeout_ms = FORWARD_TIMEOUT_MS
        if isinstance(call.body, peer_messages.GetJob):
            timeout_ms = call.body.wait_ms + WAIT_MARGIN_MS
        timeout_ms = min(timeout_ms, max(call.due_ms - self._ctx.now_ms, 1))
        call_id = self._ctx.new_call()

        def answered(message: peer_messages.ForwardAnswer | None) -> None:
            call.in_flight = False
            if call not in self._routed:
                return
            if message is None:
                call.uncertain = True
                call.body = _decisive(call.body)
                return
            if not call_answers.is_for_retry(message.body):
                self._routed.remove(call)
                call.respond(_truthful(call, message.body))

        forward = peer_messages.Forward(
            call=call_id, body=call.body, timeout_ms=timeout_ms
        )
        self._ctx.call_peer(
            owner, call_id, forward, answered, timeout_ms=timeout_ms
        )

    def _give_up(self, call: _Routed) -> None:
        in_doubt = call.uncertain or call.in_flight
        if not in_doubt:
            code = codes.ResultCode.HOME_UNREACHABLE
            call.respond(call_answers.failure(code))
        elif isinstance(call.body, peer_messages.SubmitJob):
            call.respond(call_answers.may_be_accepted(call.body.spec))
        else:
            code = codes.ResultCode.TIMED_OUT
            call.respond(call_answers.failure(code))

    def _serve(self, body: DomainCall, respond: Respond) -> None:
        """Serves a call as the owner of the failure domain."""
        domain = self._ownership.domain
        if domain is None:
            respond(call_answers.failure(codes.ResultCode.REBUILDING))
            return
        if isinstance(body, peer_messages.GetJob | peer_messages.CancelJob):
            moved_to = domain.moves.moved_to(body.job)
            if moved_to is not None:
                self._follow(moved_to, body, respond)
                return
        match body:
            case peer_messages.SubmitJob(spec=spec, eager=eager, move=move):
                domain.job_calls.submit(spec, respond, eager=eager, move=move)
            case peer_messages.GetJob(job=job, wait_ms=wait_ms):
                domain.job_calls.status(job, wait_ms, respond)
            case peer_messages.CancelJob(job=job):
                domain.job_calls.cancel(job, respond)
            case peer_messages.CancelJobs(account=account):
                respond(domain.job_calls.cancel_account(account))
            case peer_messages.ListJobs(account=account, limit=limit):
                respond(domain.job_calls.statuses(account, limit))

    def _follow(
        self,
        moved_to: ids.FailureDomainId,
        body: peer_messages.GetJob | peer_messages.CancelJob,
        respond: Respond,
    ) -> None:
        """Sends a call after a job that was moved."""
        if body.hops >= MAX_HOPS:
            respond(call_answers.failure(codes.ResultCode.HOME_UNREACHABLE))
            return
        further = msgspec.structs.replace(body, hops=body.hops + 1)
        self.route(moved_to, further, respond)

    def _fan_out(
        self,
        body: peer_messages.ListJobs | peer_messages.CancelJobs,
        respond: Respond,
    ) -> None:
        """Sends a call to one or all failure domains and joins the answers."""
        names = (
            [body.failure_domain]
            if body.failure_domain
            else [
                domain.name
                for domain in self._configuration.fold.current.failure_domains
            ]
        )
        answers: dict[ids.FailureDomainId, peer_messages.Answer] = {}

        def answered(
            name: ids.FailureDomainId, answer: peer_messages.Answer
        ) -> None:
            answers[name] = answer
            if len(answers) == len(names):
                respond(call_answers.joined(answers))

        if not names:
            respond(peer_messages.JobsAnswer(statuses=()))
        for name in names:
            part = msgspec.structs.replace(body, failure_domain=name)
            self.route(name, part, functools.partial(answered, name))


def _truthful(
    call: _Routed, answer: peer_messages.Answer
) -> peer_messages.Answer:
    """Takes back the proof of a refusal that follows a lost answer.

    An earlier owner may have accepted the job without its answer arriving.
    """
    submitted = isinstance(call.body, peer_messages.SubmitJob)
    refused = isinstance(answer, peer_messages.Failure)
    if call.uncertain and submitted and refused:
        return call_answers.may_be_accepted(call.body.spec)
    return answer


def _decisive(body: DomainCall) -> DomainCall:
    """Returns a call whose repetition settles whether the job is accepted."""
    if isinstance(body, peer_messages.SubmitJob):
        return msgspec.structs.replace(body, eager=False)
    return body
