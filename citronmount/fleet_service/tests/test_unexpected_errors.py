import contextlib
from unittest import mock

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet import pool_owner
from citronmount.fleet.workers import worker_reports
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log
from citronmount.workflow import records

DONE = states.JobState.DONE


def count_takeovers(log: pool_log.PoolLog) -> int:
    jobs_topic = log.topics[ports.Topic.JOBS]
    return sum(record.key == records.OWNER_KEY for record in jobs_topic)


class CommandErrorTest(pool_fixture.PoolTestCase):
    """An error of one command must not cost the pool its owner."""

    def setUp(self) -> None:
        super().setUp()
        self.owner = self.owner_index()
        self.takeovers = count_takeovers(self.log)

    def assert_same_owner(self) -> None:
        self.assertEqual(self.owner, self.owner_index())
        self.assertEqual(self.takeovers, count_takeovers(self.log))

    def failing(
        self, method: str, failures: int
    ) -> contextlib.AbstractContextManager:
        """Lets the first calls of a method fail after their effect."""
        call = getattr(self.pool_workers, method)
        remaining = [failures]

        async def fail_first(*args: object) -> object:
            answer = await call(*args)
            if remaining[0]:
                remaining[0] -= 1
                raise RecursionError("nested")
            return answer

        return mock.patch.object(self.pool_workers, method, fail_first)

    def test_unreadable_answer_to_a_start_does_not_run_the_task_twice(
        self,
    ) -> None:
        with self.failing("start", 3):
            self.submit("j", pool_fixture.make_step(tasks=6))
            self.run_for(3.0)
        self.assert_same_owner()
        self.assertEqual(6, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j"))

    def test_unreadable_report_is_requested_again(self) -> None:
        with self.failing("renew_leases", 6):
            self.submit("j", pool_fixture.make_step(tasks=6))
            self.run_for(4.0)
        self.assert_same_owner()
        self.assertIs(DONE, self.state("j"))

    def test_unreadable_answer_to_a_stop_does_not_leave_a_task(self) -> None:
        self.run_time_ms = lambda task, run: 30_000
        self.submit("j", pool_fixture.make_step(tasks=2))
        self.run_for(0.5)
        with self.failing("stop", 2):
            self.cancel("j")
            self.run_for(2.0)
        self.assert_same_owner()
        self.assertEqual([], self.pool_workers.running())

    def test_failed_advice_request_is_repeated(self) -> None:
        queue = pool_fixture.make_queue("advised", needs_advice=True)
        self.publish_configuration(queue, version=2)
        self.run_for(0.5)
        self.pool_workers.allowed_workers = {ids.WorkerId("w00")}
        with self.failing("request_advice", 1):
            self.submit("j", pool_fixture.make_step(), queue="advised")
            self.run_for(5.0)
        self.assert_same_owner()
        self.assertEqual(1, len(self.starts_of("j")))


class OwnerErrorTest(pool_fixture.PoolTestCase):
    """After an error in a decision another owner rebuilds the state."""

    def assert_job_completes_after(
        self, error: contextlib.AbstractContextManager
    ) -> None:
        self.run_time_ms = lambda task, run: 3_000
        self.submit("j", pool_fixture.make_step(tasks=4))
        self.run_for(1.0)
        takeovers = count_takeovers(self.log)
        with error:
            self.run_for(1.2)
        self.run_for(6.0)
        self.assertGreater(count_takeovers(self.log), takeovers)
        self.owner_index()
        self.assertEqual(4, len(self.starts_of("j")))
        self.assertIs(DONE, self.state("j"))

    def test_error_in_a_step_releases_the_pool(self) -> None:
        self.assert_job_completes_after(
            mock.patch.object(
                pool_owner.PoolOwner, "step", side_effect=KeyError("odd")
            )
        )

    def test_error_in_the_handling_of_a_report_releases_the_pool(self) -> None:
        self.assert_job_completes_after(
            mock.patch.object(
                worker_reports.WorkerReports,
                "renewal_answered",
                side_effect=KeyError("odd"),
            )
        )
