"""The failure domain that a VM owns: carries out the scheduler's decisions."""

from citronmount.agent import attempt_manager
from citronmount.agent import domain_context
from citronmount.agent import job_call_handler
from citronmount.agent import job_completion
from citronmount.agent import job_moves
from citronmount.agent import job_rebuilder
from citronmount.agent import job_table
from citronmount.agent import worker_reports
from citronmount.config import configuration as configuration_lib
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import states
from citronmount.leases import gang
from citronmount.peers import messages as peer_messages
from citronmount.services import messages

__all__ = ["OwnedDomain"]


class OwnedDomain:
    """Scheduler, jobs and attempts of the owned failure domain.

    It exists from the end of a rebuild until the VM steps down or is fenced
    off. Everything that must last is in the job book and the outbox.

    Attributes:
        job_calls: Takes callers' calls for jobs.
        moves: Hands jobs to other failure domains.
        reports: Takes reports of workers.
        rebuilder: Takes over jobs and attempts.
    """

    def __init__(
        self,
        *,
        context: domain_context.DomainContext,
    ) -> None:
        """Initializes an owned failure domain without workers.

        Args:
            context: What its parts share.
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
        """The fencing token that the workers have seen."""
        return self._context.token

    @property
    def table(self) -> job_table.JobTable:
        """The open jobs."""
        return self._context.table

    @property
    def placement_enabled(self) -> bool:
        """Whether new attempts may begin."""
        return self._context.placement_enabled

    @placement_enabled.setter
    def placement_enabled(self, placement_enabled: bool) -> None:
        self._context.placement_enabled = placement_enabled

    def summary(self) -> peer_messages.DomainSummary:
        """Returns what other VMs are told of the failure domain."""
        scheduler = self._context.scheduler
        return peer_messages.DomainSummary(
            failure_domain=self._context.failure_domain,
            token=self._context.token,
            free_accelerators=scheduler.free_accelerators(),
            queued_accelerators=scheduler.queued_accelerators(),
            largest_gang=scheduler.largest_gang(),
        )

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued work can't use."""
        return self._context.scheduler.fragmentation()

    def in_service(self) -> bool:
        """Returns whether tasks may start in the failure domain."""
        return self._context.in_service()

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes over a new version; what has not started is called back.

        Args:
            configuration: The version in force.
        """
        self._context.configuration = configuration
        self._context.scheduler.set_configuration(configuration)
        if self._context.in_service():
            return
        for attempt in list(self._context.attempts.values()):
            if attempt.phase is gang.GangPhase.RESERVING:
                attempt.stop(decisions.AttemptEnd.REFUSED)

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the platform's list of workers.

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
        """Returns whether no attempt is between two phases."""
        return all(
            attempt.phase is gang.GangPhase.RUNNING
            for attempt in self._context.attempts.values()
        )

    def lapsing_attempts(self) -> tuple[ids.AttemptId, ...]:
        """Returns the attempts that keepers must not renew."""
        return tuple(
            attempt.attempt
            for attempt in self._context.attempts.values()
            if attempt.must_lapse
        )

    def tick(self) -> None:
        """Decides, retries and answers whatever is due."""
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
        """Decides after an event that may have made room."""
        if self._context.decision_due and self._context.placement_enabled:
            self.decide()

    def decide(self) -> None:
        """Carries out what the scheduler decides now."""
        self._context.decision_due = False
        for decision in self._context.scheduler.decide(
            self._context.ctx.now_ms
        ):
            self._attempt_manager.execute(decision)
