"""Submits a caller's job to the failure domain that can start it first."""

from collections.abc import Callable

import msgspec

from citronmount.agent import call_answers
from citronmount.agent import capacity_tracker
from citronmount.agent import configuration_manager
from citronmount.agent import context
from citronmount.agent import homes
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import shares
from citronmount.peers import peer_messages

__all__ = ["JobSubmission"]

MAX_TASKS = 128

Responder = Callable[[peer_messages.Answer], None]
Route = Callable[
    [ids.FailureDomainId, peer_messages.SubmitJob, Responder], None
]


class JobSubmission:
    """Validates jobs, chooses their home failure domains and submits them."""

    def __init__(
        self,
        *,
        ctx: context.Context,
        configuration: configuration_manager.ConfigurationManager,
        tracker: capacity_tracker.CapacityTracker,
        route: Route,
    ) -> None:
        """Initializes without submissions.

        Args:
            ctx: The shared context.
            configuration: The configuration in force.
            tracker: Tracks the free capacity of each failure domain.
            route: Sends a call to the owner of a failure domain.
        """
        self._ctx = ctx
        self._configuration = configuration
        self._tracker = tracker
        self._route = route

    def submit(self, spec: jobs.JobSpec, respond: Responder) -> None:
        """Submits a job to the failure domain that can start it first.

        Args:
            spec: The job, without an id.
            respond: Called once, with the job's status or the refusal.
        """
        code, detail = self._validation_error(spec)
        if code is not None:
            respond(call_answers.failure(code, detail))
            return
        if spec.idempotency_key:
            self._submit_keyed(spec, respond)
            return
        candidates = homes.rank_job_homes(
            self._configuration.fold.current,
            spec,
            self._tracker.free_capacities(),
            self._ctx.settings.failure_domain,
        )
        if candidates:
            self._submit_to_first_free(spec, candidates, candidates[0], respond)
        else:
            self._submit_without_known_owner(spec, respond)

    def _submit_without_known_owner(
        self, spec: jobs.JobSpec, respond: Responder
    ) -> None:
        """Submits a job while no owner of a usable failure domain is known.

        The job is submitted to this VM's failure domain if that is allowed,
        otherwise to the first allowed one, where the call waits for an owner.
        """
        own_domain = self._ctx.settings.failure_domain
        allowed = shares.rank_homes(self._configuration.fold.current, spec)
        if not allowed:
            respond(call_answers.failure(codes.ResultCode.HOME_UNREACHABLE))
            return
        home = own_domain if own_domain in allowed else allowed[0]
        job = ids.job_id(home, self._ctx.unique_id())
        self._submit_to(home, spec, job, respond)

    def _submit_keyed(self, spec: jobs.JobSpec, respond: Responder) -> None:
        current = self._configuration.fold.current
        key = spec.idempotency_key
        home = homes.home_of_key(current, spec.account, key)
        if home is None:
            respond(call_answers.failure(codes.ResultCode.HOME_UNREACHABLE))
            return
        job = homes.keyed_job_id(home, spec.account, key)
        self._submit_to(home, spec, job, respond)

    def _submit_to_first_free(
        self,
        spec: jobs.JobSpec,
        candidates: list[ids.FailureDomainId],
        fallback: ids.FailureDomainId,
        respond: Responder,
    ) -> None:
        """Tries failure domains in turn until one can start the job at once.

        If none can, the job is queued in the fallback.
        """
        if not candidates:
            job = ids.job_id(fallback, self._ctx.unique_id())
            self._submit_to(fallback, spec, job, respond)
            return
        home, *remaining = candidates

        def handle_answer(answer: peer_messages.Answer) -> None:
            if call_answers.cannot_start_now(answer):
                self._submit_to_first_free(spec, remaining, fallback, respond)
            else:
                respond(answer)

        job = ids.job_id(home, self._ctx.unique_id())
        self._submit_to(home, spec, job, handle_answer, eager=True)

    def _submit_to(
        self,
        home: ids.FailureDomainId,
        spec: jobs.JobSpec,
        job: ids.JobId,
        respond: Responder,
        *,
        eager: bool = False,
    ) -> None:
        submitted_spec = msgspec.structs.replace(
            spec, job=job, submitted_ms=self._ctx.wall_ms
        )
        self._tracker.record_submission(home, spec.accelerators)
        body = peer_messages.SubmitJob(spec=submitted_spec, eager=eager)
        self._route(home, body, respond)

    def _validation_error(
        self, spec: jobs.JobSpec
    ) -> tuple[codes.ResultCode | None, str]:
        """Returns code and detail of a job's first fault, or None and ""."""
        if not self._configuration.usable:
            return codes.ResultCode.NO_CONFIGURATION, ""
        current = self._configuration.fold.current
        if all(account.name != spec.account for account in current.accounts):
            return codes.ResultCode.UNKNOWN_ACCOUNT, spec.account
        if not 1 <= spec.tasks <= MAX_TASKS:
            message = f"tasks must be 1 to {MAX_TASKS}"
            return codes.ResultCode.INVALID_REQUEST, message
        amounts = msgspec.structs.astuple(spec.per_task)
        if min(amounts) < 0 or max(amounts) < 1:
            return codes.ResultCode.INVALID_REQUEST, "per_task"
        if spec.run_time_s <= 0:
            return codes.ResultCode.INVALID_REQUEST, "run_time_s"
        if spec.deadline_ms is not None:
            return self._deadline_error(spec, spec.deadline_ms)
        return None, ""

    def _deadline_error(
        self, spec: jobs.JobSpec, deadline_ms: int
    ) -> tuple[codes.ResultCode | None, str]:
        if deadline_ms <= self._ctx.wall_ms:
            return codes.ResultCode.DEADLINE_PASSED, "deadline_ms"
        return None, ""
