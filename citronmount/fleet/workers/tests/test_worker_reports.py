import unittest

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import fleet_configuration
from citronmount.fleet import owner_state
from citronmount.fleet.runs import run_states
from citronmount.fleet.tests import planning_fixture
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import worker_directory
from citronmount.fleet.workers import worker_reports
from citronmount.fleet.workers import worker_sessions
from citronmount.workflow import job_views

NOW_MS = planning_fixture.NOW_MS


class ReportInTheMillisecondOfAStartTest(planning_fixture.PlanningTestCase):
    def setUp(self) -> None:
        super().setUp()
        directory = worker_directory.WorkerDirectory()
        directory.put(self.pool[0])
        self.state = owner_state.OwnerState(
            token=ids.FenceToken(1),
            job_view=job_views.JobView(),
            directory=directory,
            bounds=fleet_configuration.Bounds(),
            policy=lease_sessions.LeasePolicy(
                lease_ms=5_000, max_lease_ms=6_000
            ),
            now_ms=NOW_MS,
        )
        self.state.table = self.table
        self.sessions = worker_sessions.WorkerSessions(state=self.state)
        self.reports = worker_reports.WorkerReports(
            state=self.state, sessions=self.sessions
        )
        self.sessions.sync_with_directory(NOW_MS, True)
        run = self.add_run(
            "j", planning_fixture.SINGLE, self.pool[0], started_ms=NOW_MS
        )
        (self.member,) = run.members
        self.member.state = run_states.MemberState.STARTING
        self.member.start_tries = 1

    def send_renewal(self) -> commands.RenewLeases:
        self.sessions.send_due_renewals(NOW_MS)
        return self.state.commands.pop()

    def answer_start(self) -> None:
        command = commands.Start(
            worker=self.pool[0],
            task=self.member.task,
            run=1,
            payload="",
            until_ms=1,
            saved="",
            token=self.state.token,
        )
        self.reports.start_answered(
            command, commands.StartOutcome.STARTED, 1, NOW_MS
        )

    def answer_renewal(self, command: commands.RenewLeases) -> None:
        report = commands.LeaseReport(
            clock_ms=1, life_ms=self.pool[0].life_ms, running=(), ended=()
        )
        self.reports.renewal_answered(command, report, NOW_MS)

    # TWICE: a report from before the start was taken for one from after it.
    def test_report_requested_before_the_answer_proves_nothing(self) -> None:
        renewal = self.send_renewal()
        self.answer_start()
        self.answer_renewal(renewal)
        self.assertIs(run_states.MemberState.RUNNING, self.member.state)

    def test_report_requested_after_the_answer_proves_a_loss(self) -> None:
        self.answer_start()
        self.answer_renewal(self.send_renewal())
        self.assertIs(run_states.MemberState.GONE, self.member.state)


if __name__ == "__main__":
    unittest.main()
