"""State and services shared by the parts of an owned failure domain."""

from collections.abc import Callable

from citronmount.agent import attempts
from citronmount.agent import claims as claims_lib
from citronmount.agent import context
from citronmount.agent import job_table
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import token_check
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import ids
from citronmount.core import scheduler
from citronmount.core import states
from citronmount.state import job_views
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["DomainContext"]


class DomainContext:
    """State and services of an owned failure domain.

    Attributes:
        ctx: The context shared by the whole agent.
        token: The owner's fencing token, which the workers have seen.
        job_view: Jobs, intents, results and claims folded from the log.
        outbox: Writes records durably.
        claims: Claims attempts of jobs that are not idempotent.
        on_fenced: Called when a worker has seen a higher token.
        on_worker_answer: Called with every answer of a worker.
        failure_domain: The failure domain.
        stream: The job stream of the failure domain.
        scheduler: Decides which jobs to place, evict and end.
        configuration: The configuration in force.
        table: Jobs without a final result.
        targets: The workers of the failure domain.
        attempts: Attempts that have not ended.
        attempt_by_job: The attempt that has not ended, by job.
        requeue_at_ms: Monotonic time at which a job held back from the queue
            enters it again, by job.
        fenced_workers: Workers that have seen the token.
        forgettable_attempts: Ended attempts that a worker may drop from its
            reports, by worker.
        token_check: Confirms with the workers that the token is the highest.
        placement_enabled: Whether new attempts may begin.
        decision_due: Whether a job was accepted or an attempt has ended since
            the last decision.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        token: ids.FenceToken,
        job_view: job_views.JobView,
        outbox: outbox_lib.Outbox,
        claims: claims_lib.Claims,
        policy: str,
        on_fenced: Callable[[ids.FenceToken], None],
    ) -> None:
        """Initializes a failure domain without workers and jobs.

        Args:
            ctx: The context shared by the whole agent.
            token: The owner's fencing token.
            job_view: Jobs, intents, results and claims folded from the log.
            outbox: Writes records durably.
            claims: Claims attempts of jobs that are not idempotent.
            policy: The name of the scheduling policy.
            on_fenced: Called when a worker has seen a higher token.
        """
        self.ctx = ctx
        self.token = token
        self.job_view = job_view
        self.outbox = outbox
        self.claims = claims
        self.on_fenced = on_fenced
        self.on_worker_answer: Callable[
            [ids.WorkerId, messages.WorkerAnswer], None
        ] = lambda worker, answer: None
        self.failure_domain = ctx.settings.failure_domain
        self.stream = records.job_stream(self.failure_domain)
        self.scheduler = scheduler.DomainScheduler(
            failure_domain=self.failure_domain, policy=policy
        )
        self.configuration = configuration.Configuration()
        self.table = job_table.JobTable()
        self.targets: dict[ids.WorkerId, messages.ListedTarget] = {}
        self.attempts: dict[ids.AttemptId, attempts.Attempt] = {}
        self.attempt_by_job: dict[ids.JobId, ids.AttemptId] = {}
        self.requeue_at_ms: dict[ids.JobId, int] = {}
        self.fenced_workers: set[ids.WorkerId] = set()
        self.forgettable_attempts: dict[ids.WorkerId, set[ids.AttemptId]] = {}
        self.token_check = token_check.TokenCheck(
            ctx=ctx, token=token, on_fenced=on_fenced
        )
        self.placement_enabled = True
        self.decision_due = True

    def in_service(self) -> bool:
        """Returns whether tasks may start in the failure domain."""
        return any(
            domain.name == self.failure_domain
            and domain.state is states.FailureDomainState.IN
            for domain in self.configuration.failure_domains
        )

    def attempt_of(self, job: ids.JobId) -> attempts.Attempt | None:
        """Returns the attempt of a job that has not ended, if there is one.

        Args:
            job: The job.
        """
        attempt = self.attempt_by_job.get(job)
        return None if attempt is None else self.attempts.get(attempt)

    def record(self, record: records.Record) -> None:
        """Folds a record into the job view and writes it to the stream.

        Args:
            record: A record of the failure domain's stream.
        """
        self.job_view.fold(record)
        self.outbox.write(self.stream, record)

    def trace_accepted(self, entry: job_table.JobEntry) -> None:
        """Adds a job's acceptance to the timeline.

        Args:
            entry: The job.
        """
        spec = entry.spec
        durability = entry.durability or states.Durability.LOG
        self.ctx.trace(
            timeline_events.EventKind.JOB_ACCEPTED,
            job=spec.job,
            account=spec.account,
            count=spec.tasks,
            detail=durability.value,
        )
