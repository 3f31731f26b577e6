"""The failure domain that a VM owns: carries out the scheduler's decisions."""

from citronmount.agent import domain_core
from citronmount.agent import job_ends
from citronmount.agent import job_intake
from citronmount.agent import job_moves
from citronmount.agent import job_rebuilding
from citronmount.agent import job_runs
from citronmount.agent import job_table
from citronmount.agent import worker_reports
from citronmount.clients import messages
from citronmount.config import configuration as configuration_lib
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import states
from citronmount.leases import gang as gang_lib
from citronmount.peers import messages as peer_messages

__all__ = ["OwnedDomain"]


class OwnedDomain:
    """Scheduler, jobs and attempts of the owned failure domain.

    It exists from the end of a rebuild until the VM steps down or is fenced
    off. Everything that must last is in the job book and the outbox.

    Attributes:
        intake: Takes callers' calls for jobs.
        moves: Hands jobs to other failure domains.
        reports: Takes reports of workers.
        rebuilding: Takes over jobs and attempts.
    """

    def __init__(
        self,
        *,
        core: domain_core.DomainCore,
    ) -> None:
        """Initializes an owned failure domain without workers.

        Args:
            core: What its parts share.
        """
        ends = job_ends.JobEnds(core=core)
        self._core = core
        self._runs = job_runs.JobRuns(core=core, ends=ends)
        self.moves = job_moves.JobMoves(core=core, ends=ends)
        self.intake = job_intake.JobIntake(
            core=core, ends=ends, moves=self.moves
        )
        self.reports = worker_reports.WorkerReports(core=core, runs=self._runs)
        self.rebuilding = job_rebuilding.JobRebuilding(
            core=core,
            ends=ends,
            moves=self.moves,
            runs=self._runs,
            reports=self.reports,
        )
        core.on_worker_answer = self.reports.answered

    @property
    def token(self) -> ids.FenceToken:
        """The fencing token that the workers have seen."""
        return self._core.token

    @property
    def table(self) -> job_table.JobTable:
        """The open jobs."""
        return self._core.table

    @property
    def placing(self) -> bool:
        """Whether new attempts may begin."""
        return self._core.placing

    @placing.setter
    def placing(self, placing: bool) -> None:
        self._core.placing = placing

    def summary(self) -> peer_messages.DomainSummary:
        """Returns what other VMs are told of the failure domain."""
        scheduler = self._core.scheduler
        return peer_messages.DomainSummary(
            failure_domain=self._core.failure_domain,
            token=self._core.token,
            free_accelerators=scheduler.free_accelerators(),
            queued_accelerators=scheduler.queued_accelerators(),
            largest_gang=scheduler.largest_gang(),
        )

    def fragmentation(self) -> float:
        """Returns the share of free accelerators that queued work can't use."""
        return self._core.scheduler.fragmentation()

    def in_service(self) -> bool:
        """Returns whether tasks may start in the failure domain."""
        return self._core.in_service()

    def set_configuration(
        self, configuration: configuration_lib.Configuration
    ) -> None:
        """Takes over a new version; what has not started is called back.

        Args:
            configuration: The version in force.
        """
        self._core.configuration = configuration
        self._core.scheduler.set_configuration(configuration)
        if self._core.in_service():
            return
        for attempt in list(self._core.attempts.values()):
            if attempt.phase is gang_lib.GangPhase.RESERVING:
                attempt.stop(decisions.AttemptEnd.REFUSED)

    def set_workers(self, workers: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the platform's list of workers.

        Args:
            workers: The workers of the failure domain.
        """
        core = self._core
        core.targets.update(
            {ids.WorkerId(worker.name): worker for worker in workers}
        )
        core.scheduler.set_workers(workers)
        core.token_check.set_workers(tuple(core.targets.values()))
        for worker in self.reports.lost:
            core.scheduler.set_worker_state(
                worker, states.TargetState.LOST, core.ctx.now_ms
            )

    def idle(self) -> bool:
        """Returns whether no attempt is between two phases."""
        return all(
            attempt.phase is gang_lib.GangPhase.RUNNING
            for attempt in self._core.attempts.values()
        )

    def lapsing(self) -> tuple[ids.AttemptId, ...]:
        """Returns the attempts that keepers must not renew."""
        return tuple(
            attempt.attempt
            for attempt in self._core.attempts.values()
            if attempt.must_lapse
        )

    def tick(self) -> None:
        """Decides, retries and answers whatever is due."""
        core = self._core
        core.scheduler.set_wall_clock(
            now_ms=core.ctx.now_ms, wall_ms=core.ctx.wall_ms
        )
        for attempt in list(core.attempts.values()):
            attempt.tick()
        self._runs.release_held()
        if core.placing:
            self.decide()
        core.table.answer_due(core.ctx.now_ms)
        self.reports.send_forget()
        self.reports.note_quarantine()
        core.token_check.tick()

    def decide_if_due(self) -> None:
        """Decides after an event that may have made room."""
        if self._core.decision_due and self._core.placing:
            self.decide()

    def decide(self) -> None:
        """Carries out what the scheduler decides now."""
        self._core.decision_due = False
        for decision in self._core.scheduler.decide(self._core.ctx.now_ms):
            self._runs.carry_out(decision)
