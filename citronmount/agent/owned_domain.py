"""The failure domain that a VM owns, with its scheduler, jobs and attempts."""

from citronmount.agent import attempt_manager
from citronmount.agent import domain_context
from citronmount.agent import job_call_handler
from citronmount.agent import job_completion
from citronmount.agent import job_moves
from citronmount.agent import job_rebuilder
from citronmount.agent import job_table
from citronmount.agent import worker_reports
from citronmount.clients import messages
from citronmount.config import configuration as configuration_lib
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import states
from citronmount.leases import gang
from citronmount.peers import peer_messages

__all__ = ["OwnedDomain"]


class OwnedDomain:
    """Runs the scheduler of an owned failure domain and executes decisions.

    An instance exists from the moment that the VM becomes the owner until it
    steps down or is fenced. All state that must survive it is in the job view
    and the outbox.

    Attributes:
        job_calls: Handles callers' calls for jobs.
        moves: Records moves of jobs between failure domains.
        reports: Processes reports of workers.
        rebuilder: Restores jobs and adopts attempts after a takeover.
    """

    def __init__(
        self,
        *,
        domain_ctx: domain_context.DomainContext,
    ) -> None:
        """Initializes an owned failure domain without workers.

        Args:
            domain_ctx: State and services shared by its parts.
        """
        completion = job_completion.JobCompletion(domain=domain_ctx)
        self._domain = domain_ctx
        self._attempt_manager = attempt_manager.AttemptManager(
            domain=domain_ctx, completion=completion
        )
        self.moves = job_moves.JobMoves(
            domain=domain_ctx, completion=completion
        )
        self.job_calls = job_call_handler.JobCallHandler(
            domain=domain_ctx, completion=completion, moves=self.moves
        )
        self.reports = worker_reports.WorkerReports(
            domain=domain_ctx, manager=self._attempt_manager
        )
        self.rebuilder = job_rebuilder.JobRebuilder(
            domain=domain_ctx,
            completion=completion,
            moves=self.moves,
            manager=self._attempt_manager,
            reports=self.reports,
        )
        domain_ctx.on_worker_answer = self.reports.handle_answer

    @property
    def token(self) -> ids.FenceToken:
        """The owner's fencing token, which the workers have seen."""
        return self._domain.token

    @property
    def table(self) -> job_table.JobTable:
        """The jobs without a final result."""
        return self._domain.table

    @property
    def placement_enabled(self) -> bool:
        """Whether new attempts may begin."""
        return self._domain.placement_enabled

    @placement_enabled.setter
    def placement_enabled(self, placement_enabled: bool) -> None:
        self._domain.placement_enabled = placement_enabled

    def summary(self) -> peer_messages.DomainSummary:
        """Returns the summary that heartbeats carry to other VMs."""
        scheduler = self._domain.scheduler
        return peer_messages.DomainSummary(
            failure_domain=self._domain.failure_domain,
            token=self._domain.token,
            free_accelerators=scheduler.free_accelerators(),
            queued_accelerators=scheduler.queued_accelerators(),
            largest_gang=scheduler.largest_gang(),
        )

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued jobs can't use."""
        return self._domain.scheduler.fragmentation()

    def in_service(self) -> bool:
        """Returns whether tasks may start in the failure domain."""
        return self._domain.in_service()

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new version of the configuration.

        While the failure domain is out of service, attempts that are still
        reserving are stopped.

        Args:
            configuration: The configuration in force.
        """
        self._domain.configuration = configuration
        self._domain.scheduler.set_configuration(configuration)
        if self._domain.in_service():
            return
        for attempt in list(self._domain.attempts.values()):
            if attempt.phase is gang.GangPhase.RESERVING:
                attempt.stop(decisions.AttemptEnd.REFUSED)

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Applies the platform's list of workers.

        Args:
            workers: The workers of the failure domain.
        """
        domain = self._domain
        domain.targets.update(
            {ids.WorkerId(worker.name): worker for worker in workers}
        )
        domain.scheduler.set_workers(workers)
        domain.token_check.set_workers(tuple(domain.targets.values()))
        for worker in self.reports.lost_workers:
            domain.scheduler.set_worker_state(
                worker, states.TargetState.LOST, domain.ctx.now_ms
            )

    def all_attempts_running(self) -> bool:
        """Returns whether no attempt is reserving, starting or stopping."""
        return all(
            attempt.phase is gang.GangPhase.RUNNING
            for attempt in self._domain.attempts.values()
        )

    def lapsing_attempts(self) -> tuple[ids.AttemptId, ...]:
        """Returns the attempts whose leases must not be renewed."""
        return tuple(
            attempt.attempt
            for attempt in self._domain.attempts.values()
            if attempt.must_lapse
        )

    def tick(self) -> None:
        """Runs everything that is due: retries, decisions and answers."""
        domain = self._domain
        domain.scheduler.set_wall_clock(
            now_ms=domain.ctx.now_ms, wall_ms=domain.ctx.wall_ms
        )
        for attempt in list(domain.attempts.values()):
            attempt.tick()
        self._attempt_manager.requeue_held_jobs()
        if domain.placement_enabled:
            self.decide()
        domain.table.answer_due_waiters(domain.ctx.now_ms)
        self.reports.send_forget_calls()
        self.reports.trace_quarantine()
        domain.token_check.tick()

    def decide_if_due(self) -> None:
        """Runs the scheduler if a job was accepted or an attempt has ended."""
        if self._domain.decision_due and self._domain.placement_enabled:
            self.decide()

    def decide(self) -> None:
        """Runs the scheduler and executes its decisions."""
        self._domain.decision_due = False
        for decision in self._domain.scheduler.decide(self._domain.ctx.now_ms):
            self._attempt_manager.execute(decision)
