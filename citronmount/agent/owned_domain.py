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
        context: domain_context.DomainContext,
    ) -> None:
        """Initializes an owned failure domain without workers.

        Args:
            context: State and services shared by its parts.
        """
        completion = job_completion.JobCompletion(domain=context)
        self._context = context
        self._attempt_manager = attempt_manager.AttemptManager(
            domain=context, completion=completion
        )
        self.moves = job_moves.JobMoves(domain=context, completion=completion)
        self.job_calls = job_call_handler.JobCallHandler(
            domain=context, completion=completion, moves=self.moves
        )
        self.reports = worker_reports.WorkerReports(
            domain=context, manager=self._attempt_manager
        )
        self.rebuilder = job_rebuilder.JobRebuilder(
            domain=context,
            completion=completion,
            moves=self.moves,
            manager=self._attempt_manager,
            reports=self.reports,
        )
        context.on_worker_answer = self.reports.handle_answer

    @property
    def token(self) -> ids.FenceToken:
        """The owner's fencing token, which the workers have seen."""
        return self._context.token

    @property
    def table(self) -> job_table.JobTable:
        """The jobs without a final result."""
        return self._context.table

    @property
    def placement_enabled(self) -> bool:
        """Whether new attempts may begin."""
        return self._context.placement_enabled

    @placement_enabled.setter
    def placement_enabled(self, placement_enabled: bool) -> None:
        self._context.placement_enabled = placement_enabled

    def summary(self) -> peer_messages.DomainSummary:
        """Returns the summary that heartbeats carry to other VMs."""
        scheduler = self._context.scheduler
        return peer_messages.DomainSummary(
            failure_domain=self._context.failure_domain,
            token=self._context.token,
            free_accelerators=scheduler.free_accelerators(),
            queued_accelerators=scheduler.queued_accelerators(),
            largest_gang=scheduler.largest_gang(),
        )

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued jobs can't use."""
        return self._context.scheduler.fragmentation()

    def in_service(self) -> bool:
        """Returns whether tasks may start in the failure domain."""
        return self._context.in_service()

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Applies a new version of the configuration.

        While the failure domain is out of service, attempts that are still
        reserving are stopped.

        Args:
            configuration: The configuration in force.
        """
        self._context.configuration = configuration
        self._context.scheduler.set_configuration(configuration)
        if self._context.in_service():
            return
        for attempt in list(self._context.attempts.values()):
            if attempt.phase is gang.GangPhase.RESERVING:
                attempt.stop(decisions.AttemptEnd.REFUSED)

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Applies the platform's list of workers.

        Args:
            workers: The workers of the failure domain.
        """
        context = self._context
        context.targets.update(
            {ids.WorkerId(worker.name): worker for worker in workers}
        )
        context.scheduler.set_workers(workers)
        context.token_check.set_workers(tuple(context.targets.values()))
        for worker in self.reports.lost_workers:
            context.scheduler.set_worker_state(
                worker, states.TargetState.LOST, context.ctx.now_ms
            )

    def all_attempts_running(self) -> bool:
        """Returns whether no attempt is reserving, starting or stopping."""
        return all(
            attempt.phase is gang.GangPhase.RUNNING
            for attempt in self._context.attempts.values()
        )

    def lapsing_attempts(self) -> tuple[ids.AttemptId, ...]:
        """Returns the attempts whose leases must not be renewed."""
        return tuple(
            attempt.attempt
            for attempt in self._context.attempts.values()
            if attempt.must_lapse
        )

    def tick(self) -> None:
        """Runs everything that is due: retries, decisions and answers."""
        context = self._context
        context.scheduler.set_wall_clock(
            now_ms=context.ctx.now_ms, wall_ms=context.ctx.wall_ms
        )
        for attempt in list(context.attempts.values()):
            attempt.tick()
        self._attempt_manager.requeue_held_jobs()
        if context.placement_enabled:
            self.decide()
        context.table.answer_due(context.ctx.now_ms)
        self.reports.send_forget_calls()
        self.reports.trace_quarantine()
        context.token_check.tick()

    def decide_if_due(self) -> None:
        """Runs the scheduler if a job was accepted or an attempt has ended."""
        if self._context.decision_due and self._context.placement_enabled:
            self.decide()

    def decide(self) -> None:
        """Runs the scheduler and executes its decisions."""
        self._context.decision_due = False
        for decision in self._context.scheduler.decide(
            self._context.ctx.now_ms
        ):
            self._attempt_manager.execute(decision)
