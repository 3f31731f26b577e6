from collections.abc import Callable
import contextlib
from unittest import mock

from citronmount.core import ids
from citronmount.core import states
from citronmount.fleet import pool_owner
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.estimates import learning
from citronmount.fleet.estimates import run_time_recorder
from citronmount.fleet.placement import unit_fitting
from citronmount.fleet.queueing import urgency
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import job_completion
from citronmount.fleet.runs import run_starts
from citronmount.fleet.runs import unit_runs
from citronmount.fleet_service.tests import pool_fixture
from citronmount.fleet_service.tests import test_unexpected_errors
from citronmount.workflow import progress

DONE = states.JobState.DONE


def failing_for_odd_job(
    owner: type, name: str, job_of: Callable[[object], str]
) -> contextlib.AbstractContextManager:
    """Lets a method fail when its first argument belongs to the odd job."""
    method = getattr(owner, name)

    def fail(self: object, first: object, *others: object, **named: object):
        if job_of(first) == "odd":
            raise KeyError("odd")
        return method(self, first, *others, **named)

    return mock.patch.object(owner, name, fail)


class JobFaultsTest(pool_fixture.PoolTestCase):
    """An error that one job causes must not stop the others."""

    def assert_others_run(
        self, fault: contextlib.AbstractContextManager, queue: str = "batch"
    ) -> None:
        """Other jobs complete under one owner, the odd one after the fault."""
        takeovers = test_unexpected_errors.count_takeovers(self.log)
        names = [each.terms.queue for each in self.configuration.queues]
        queue_index = names.index(queue)
        with fault:
            self.submit("odd", pool_fixture.make_step(), queue=queue)
            self.run_for(0.5)
            self.submit("next", pool_fixture.make_step(tasks=4), queue=queue)
            # Before the odd job is late and would come after the other.
            self.run_for(3.0)
            self.assertIs(DONE, self.state("next", queue=queue_index))
        self.run_for(12.0)
        self.assertIs(DONE, self.state("odd", queue=queue_index))
        self.assertEqual(1, len(self.starts_of("odd")))
        self.assertEqual(
            takeovers, test_unexpected_errors.count_takeovers(self.log)
        )

    def test_rank(self) -> None:
        self.assert_others_run(
            failing_for_odd_job(
                urgency.Urgency, "rank", lambda unit: unit.key.job
            )
        )

    def test_placement(self) -> None:
        self.assert_others_run(
            failing_for_odd_job(
                unit_fitting.UnitFitting, "fit", lambda unit: unit.key.job
            )
        )

    def test_list_of_open_units(self) -> None:
        open_units = progress.JobProgress.open_units

        def fail(self: progress.JobProgress, wall_ms: int):
            if self._workflow.job == "odd":
                raise KeyError("odd")
            return open_units(self, wall_ms)

        self.assert_others_run(
            mock.patch.object(progress.JobProgress, "open_units", fail)
        )

    def test_decision(self) -> None:
        self.assert_others_run(
            failing_for_odd_job(
                pool_owner.PoolOwner,
                "_apply_decision",
                lambda decision: decision.waiting.key.job,
            )
        )

    def test_advice(self) -> None:
        task_capacity = waiting_units.task_capacity

        def fail(unit: waiting_units.WaitingUnit, *others: object) -> int:
            if unit.key.job == "odd":
                raise KeyError("odd")
            return task_capacity(unit, *others)

        queue = pool_fixture.make_queue("advised", needs_advice=True)
        self.publish_configuration(queue, version=2)
        self.pool_workers.allowed_workers = {ids.WorkerId("w00")}
        self.run_for(0.5)
        self.assert_others_run(
            mock.patch.object(waiting_units, "task_capacity", fail),
            queue="advised",
        )

    def test_end_of_a_run(self) -> None:
        # The worker reports the end again to each owner.
        self.assert_others_run(
            failing_for_odd_job(
                learning.RunTimeLearning, "run_done", lambda run: run.job
            )
        )

    def test_what_is_learned(self) -> None:
        self.assert_others_run(
            mock.patch.object(
                run_time_recorder.RunTimeRecorder,
                "step",
                side_effect=KeyError("odd"),
            )
        )

    def test_start(self) -> None:
        self.assert_others_run(
            failing_for_odd_job(
                run_starts.RunStarts, "send_due", lambda run: run.job
            )
        )

    def test_final_state(self) -> None:
        self.assert_others_run(
            failing_for_odd_job(
                job_completion.JobCompletion, "_record_final_state", str
            )
        )

    def test_running_job_at_which_each_round_fails(self) -> None:
        # As in review/1: the fault is in the state from which a round begins.
        self.run_time_ms = lambda task, run: 2_000
        takeovers = test_unexpected_errors.count_takeovers(self.log)

        def fail(self: guarantees.Guarantees, run: unit_runs.Run) -> None:
            raise KeyError(run.unit)

        with mock.patch.object(guarantees.Guarantees, "_count_run", fail):
            self.submit("odd", pool_fixture.make_step(), queue="urgent")
            self.run_for(0.5)
            self.submit("next", pool_fixture.make_step())
            self.run_for(5.0)
            self.assertIs(DONE, self.state("odd", queue=1))
            self.assertIs(DONE, self.state("next"))
        self.assertEqual(
            takeovers, test_unexpected_errors.count_takeovers(self.log)
        )

    def test_run_that_a_new_owner_cannot_restore(self) -> None:
        self.run_time_ms = lambda task, run: 4_000
        self.submit("odd", pool_fixture.make_step())
        self.submit("next", pool_fixture.make_step(tasks=2))
        self.run_for(1.0)
        run_init = unit_runs.Run.__init__

        def fail(self: unit_runs.Run, **options: object) -> None:
            if options["key"].job == "odd":
                raise KeyError("odd")
            run_init(self, **options)

        with mock.patch.object(unit_runs.Run, "__init__", fail):
            self.pool_vms[self.owner_index()]._owner._on_newer_owner("test")
            self.run_for(8.0)
            self.owner_index()
            self.assertIs(DONE, self.state("next"))
            self.assertEqual(1, len(self.starts_of("odd")))
