"""Routes callers' calls to the VM that can serve them."""

import collections
from collections.abc import Callable
import functools

import msgspec

from citronmount.agent import call_answers
from citronmount.agent import capacity_tracker
from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import job_submission
from citronmount.agent import ownership as ownership_lib
from citronmount.agent import request_handler
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.membership import membership_view
from citronmount.peers import peer_messages

__all__ = ["CallRouter"]

FORWARD_TIMEOUT_MS = 1_500
ANSWER_MARGIN_MS = 1_000
MAX_WAIT_MS = 60_000
MAX_SEEN_CALLS = 50_000
MAX_MOVES_FOLLOWED = 4

Responder = Callable[[peer_messages.Answer], None]
DomainCall = (
    peer_messages.SubmitJob
    | peer_messages.GetJob
    | peer_messages.CancelJob
    | peer_messages.CancelJobs
    | peer_messages.ListJobs
)


class _RoutedCall(msgspec.Struct, kw_only=True):
    """A call that is to be served by the owner of a failure domain.

    Attributes:
        due_ms: Monotonic time at which the call times out.
        in_flight: Whether a forwarded copy awaits its answer.
        uncertain: Whether a forwarded copy was not answered, so that an owner
            may have executed the call.
    """

    failure_domain: ids.FailureDomainId
    body: DomainCall
    respond: Responder
    due_ms: int
    in_flight: bool = False
    sent: bool = False
    uncertain: bool = False


class CallRouter:
    """Routes each call to the owner of its failure domain; answers it once.

    Calls are retried until their deadline. All of them are idempotent, since
    the id of a job is fixed before its first submission is forwarded.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        view: membership_view.MembershipView,
        configuration: configuration_manager.ConfigurationManager,
        ownership: ownership_lib.Ownership,
        tracker: capacity_tracker.CapacityTracker,
        requests: request_handler.RequestHandler,
    ) -> None:
        """Initializes a router without calls.

        Args:
            ctx: The shared context.
            view: Determines the owner of each failure domain.
            configuration: Provides the configuration in force.
            ownership: Provides the local failure domain while this VM owns it.
            tracker: Tracks the free capacity of each failure domain.
            requests: Handles short requests.
        """
        self._ctx = ctx
        self._view = view
        self._configuration = configuration
        self._ownership = ownership
        self._requests = requests
        self._routed: list[_RoutedCall] = []
        self._seen: collections.OrderedDict[ids.CallId, None] = (
            collections.OrderedDict()
        )
        self._submission = job_submission.JobSubmission(
            ctx=ctx,
            configuration=configuration,
            tracker=tracker,
            route=self.route,
        )

    def has_open_work(self) -> bool:
        """Returns whether any routed call has not been answered yet."""
        return bool(self._routed)

    def handle(
        self, body: peer_messages.CallerCall, respond: Responder
    ) -> None:
        """Serves a call that this VM received from a caller.

        Args:
            body: The call.
            respond: Called once with the answer.
        """
        match body:
            case peer_messages.RunRequest():
                self._submit_request(body, respond)
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
        """Serves a call that another VM forwarded.

        Args:
            sender: The other VM.
            message: The call. Duplicates of recent calls are ignored.
        """
        if message.call in self._seen:
            return
        self._seen[message.call] = None
        while len(self._seen) > MAX_SEEN_CALLS:
            self._seen.popitem(last=False)

        def respond(answer: peer_messages.Answer) -> None:
            reply = peer_messages.ForwardAnswer(call=message.call, body=answer)
            self._ctx.send(sender, reply)

        body = message.body
        if isinstance(body, peer_messages.RunRequest):
            self._submit_request(body, respond)
        elif isinstance(body, DomainCall):
            self._serve(body, respond)
        else:
            respond(call_answers.failure(codes.ResultCode.INVALID_REQUEST))

    def tick(self) -> None:
        """Retries unanswered calls and ends those past their deadline."""
        routed, self._routed = self._routed, []
        for call in routed:
            if not call.in_flight:
                self._advance(call)
            elif self._ctx.now_ms < call.due_ms:
                self._routed.append(call)
            else:
                self._answer_timeout(call)

    def _submit_request(
        self, body: peer_messages.RunRequest, respond: Responder
    ) -> None:
        def handle_answer(result: jobs.RequestResult) -> None:
            respond(peer_messages.RequestAnswer(result=result))

        if body.spec.timeout_ms <= 0:
            respond(call_answers.failure(codes.ResultCode.DEADLINE_PASSED))
            return
        self._requests.submit(
            body.spec,
            handle_answer,
            claimed=body.claimed,
            offered=body.offered,
        )

    def route(
        self,
        failure_domain: ids.FailureDomainId,
        body: DomainCall,
        respond: Responder,
    ) -> None:
        """Routes a call to the owner of a failure domain.

        Args:
            failure_domain: The failure domain.
            body: The call.
            respond: Called once with the answer.
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
            _RoutedCall(
                failure_domain=failure_domain,
                body=body,
                respond=respond,
                due_ms=self._ctx.now_ms + timeout_ms,
            )
        )

    def _is_configured(self, failure_domain: ids.FailureDomainId) -> bool:
        """Returns whether a failure domain may exist.

        Every name is accepted while no configuration is known.
        """
        names = {
            domain.name
            for domain in self._configuration.fold.current.failure_domains
        }
        return not names or failure_domain in names

    def _advance(self, call: _RoutedCall) -> None:
        """Serves a call here, forwards it, or lets it wait for an owner."""
        own = call.failure_domain == self._ctx.settings.failure_domain
        if own and self._ownership.domain is not None:
            self._serve(call.body, call.respond)
            return
        if self._ctx.now_ms >= call.due_ms:
            self._answer_timeout(call)
            return
        self._routed.append(call)
        owner = self._view.owner(call.failure_domain, self._ctx.now_ms)
        if owner is not None and owner != self._ctx.settings.vm:
            self._forward(owner, call)

    def _forward(self, owner: ids.VmId, call: _RoutedCall) -> None:
        call.in_flight = True
        call.sent = True
        timeout_ms = FORWARD_TIMEOUT_MS
        if isinstance(call.body, peer_messages.GetJob):
            timeout_ms = call.body.wait_ms + ANSWER_MARGIN_MS
        timeout_ms = min(timeout_ms, max(call.due_ms - self._ctx.now_ms, 1))
        call_id = self._ctx.new_call()

        def handle_answer(message: peer_messages.ForwardAnswer | None) -> None:
            call.in_flight = False
            if call not in self._routed:
                return
            if message is None:
                call.uncertain = True
                call.body = _body_to_retry(call.body)
                return
            if not call_answers.is_not_owner(message.body):
                self._routed.remove(call)
                call.respond(_answer_to_report(call, message.body))

        forward = peer_messages.Forward(
            call=call_id, body=call.body, timeout_ms=timeout_ms
        )
        self._ctx.call_peer(
            owner, call_id, forward, handle_answer, timeout_ms=timeout_ms
        )

    def _answer_timeout(self, call: _RoutedCall) -> None:
        outcome_unknown = call.uncertain or call.in_flight
        if not outcome_unknown:
            code = codes.ResultCode.HOME_UNREACHABLE
            call.respond(call_answers.failure(code))
        elif isinstance(call.body, peer_messages.SubmitJob):
            call.respond(
                call_answers.submission_outcome_unknown(call.body.spec)
            )
        else:
            code = codes.ResultCode.TIMED_OUT
            call.respond(call_answers.failure(code))

    def _serve(self, body: DomainCall, respond: Responder) -> None:
        """Serves a call as the owner of the failure domain."""
        domain = self._ownership.domain
        if domain is None:
            respond(call_answers.failure(codes.ResultCode.REBUILDING))
            return
        if isinstance(body, peer_messages.GetJob | peer_messages.CancelJob):
            moved_to = domain.moves.moved_to(body.job)
            if moved_to is not None:
                self._follow_move(moved_to, body, respond)
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

    def _follow_move(
        self,
        moved_to: ids.FailureDomainId,
        body: peer_messages.GetJob | peer_messages.CancelJob,
        respond: Responder,
    ) -> None:
        """Routes a call to the failure domain that its job was moved to."""
        if body.hops >= MAX_MOVES_FOLLOWED:
            respond(call_answers.failure(codes.ResultCode.HOME_UNREACHABLE))
            return
        followed = msgspec.structs.replace(body, hops=body.hops + 1)
        self.route(moved_to, followed, respond)

    def _fan_out(
        self,
        body: peer_messages.ListJobs | peer_messages.CancelJobs,
        respond: Responder,
    ) -> None:
        """Routes a call to one or all failure domains, merging the answers."""
        names = (
            [body.failure_domain]
            if body.failure_domain
            else [
                domain.name
                for domain in self._configuration.fold.current.failure_domains
            ]
        )
        answers: dict[ids.FailureDomainId, peer_messages.Answer] = {}

        def handle_answer(
            name: ids.FailureDomainId, answer: peer_messages.Answer
        ) -> None:
            answers[name] = answer
            if len(answers) == len(names):
                respond(call_answers.merge_job_lists(answers))

        if not names:
            respond(peer_messages.JobsAnswer(statuses=()))
        for name in names:
            domain_call = msgspec.structs.replace(body, failure_domain=name)
            self.route(
                name, domain_call, functools.partial(handle_answer, name)
            )


def _answer_to_report(
    call: _RoutedCall, answer: peer_messages.Answer
) -> peer_messages.Answer:
    """Replaces a refusal that follows a lost answer by an unknown outcome.

    An earlier owner may have accepted the job although its answer was lost.
    """
    submitted = isinstance(call.body, peer_messages.SubmitJob)
    refused = isinstance(answer, peer_messages.Failure)
    if call.uncertain and submitted and refused:
        return call_answers.submission_outcome_unknown(call.body.spec)
    return answer


def _body_to_retry(body: DomainCall) -> DomainCall:
    """Returns the call to retry after a lost answer.

    A submission is retried as one that may be queued, so that its answer
    settles whether the job is accepted.
    """
    if isinstance(body, peer_messages.SubmitJob):
        return msgspec.structs.replace(body, eager=False)
    return body
