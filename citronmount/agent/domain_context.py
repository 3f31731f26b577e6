"""What the parts of an owned failure domain share."""

from collections.abc import Callable

from citronmount.agent import attempts as attempts_lib
from citronmount.agent import claims as claims_lib
from citronmount.agent import context
from citronmount.agent import job_table
from citronmount.agent import outbox as outbox_lib
from citronmount.agent import token_check
from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import scheduler as scheduler_lib
from citronmount.core import states
from citronmount.services import messages
from citronmount.state import job_view as job_view_lib
from citronmount.state import records
from citronmount.telemetry import events as timeline

__all__ = ["DomainContext"]


class DomainContext:
    """State and services of an owned failure domain.

    Attributes:
        ctx: The shared context.
        token: The fencing token that the workers have seen.
        job_view: What must not be lost.
        outbox: Writes durably.
        claims: Claims the attempts of jobs that are not idempotent.
        on_fenced: Told when a worker has seen a higher token.
        on_worker_answer: Told of every answer of a worker.
        failure_domain: The failure domain.
        stream: Its stream in the log.
        scheduler: Decides.
        configuration: The version in force.
        table: Open jobs.
        targets: The workers.
        attempts: Attempts that have not ended.
        attempt_by_job: The attempt of each job that has one.
        requeue_at_ms: Jobs kept out of the queue until a monotonic time.
        fenced_workers: Workers that have seen the token.
        forgettable_attempts: Ended attempts that workers may drop from their
            reports.
        token_check: Confirms the token with workers.
        placement_enabled: Whether new attempts may begin.
        decision_due: Whether something has happened that may make room.
    """

    def __init__(
        self,
        *,
        ctx: context.Context,
        token: ids.FenceToken,
        job_view: job_view_lib.JobView,
        outbox: outbox_lib.Outbox,
        claims: claims_lib.Claims,
        policy: str,
        on_fenced: Callable[[ids.FenceToken], None],
    ) -> None:
        """Initializes a failure domain without workers and jobs.

        Args:
            ctx: The shared context.
            token: The fencing token.
            job_view: What must not be lost.
            outbox: Writes durably.
            claims: Claims keys.
            policy: The scheduling policy.
            on_fenced: Told when a worker has seen a higher token.
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
        self.scheduler = scheduler_lib.DomainScheduler(
            failure_domain=self.failure_domain, policy=policy
        )
        self.configuration = configuration_lib.Configuration()
        self.table = job_table.JobTable()
        self.targets: dict[ids.WorkerId, messages.ListedTarget] = {}
        self.attempts: dict[ids.AttemptId, attempts_lib.Attempt] = {}
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

    def attempt_of(self, job: ids.JobId) -> attempts_lib.Attempt | None:
        """Returns the attempt of a job that has not ended.

        Args:
            job: The job.
        """
        attempt = self.attempt_by_job.get(job)
        return None if attempt is None else self.attempts.get(attempt)

    def record(self, record: records.Record) -> None:
        """Folds a record into the book and writes it.

        Args:
            record: A record of the failure domain's stream.
        """
        self.job_view.fold(record)
        self.outbox.write(self.stream, record)

    def trace_accepted(self, entry: job_table.JobEntry) -> None:
        """Notes in the time line that a job is in the table.

        Args:
            entry: The job.
        """
        spec = entry.spec
        durability = entry.durability or states.Durability.LOG
        self.ctx.trace(
            timeline.EventKind.JOB_ACCEPTED,
            job=spec.job,
            account=spec.account,
            count=spec.tasks,
            detail=durability.value,
        )
