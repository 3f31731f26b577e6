import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.accounts import quotas
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec

ACCOUNT = ids.AccountId("a")
EIGHT = fleet_configuration.Quota(max_accelerators=8)


class QuotaTest(planning_fixture.PlanningTestCase):
    def plan(
        self,
        *waiting: waiting_units.WaitingUnit,
        quota: fleet_configuration.Quota = EIGHT,
        guaranteed: int = 0,
    ) -> list[waiting_units.Decision]:
        account = fleet_configuration.Account(
            account=ACCOUNT,
            keys=frozenset(),
            guaranteed_accelerators=guaranteed,
            quota=quota,
        )
        self.planner = planning.Planner(
            workers=self.pool,
            table=self.table,
            accounts=(account,),
            bounds=fleet_configuration.Bounds(),
            now_ms=planning_fixture.NOW_MS,
            wall_ms=planning_fixture.WALL_MS,
        )
        return self.planner.decide(waiting)

    def run_singles(
        self, count: int, step: spec.Step = planning_fixture.SINGLE
    ) -> list[unit_runs.Run]:
        """Adds runs on different workers; a later one started later."""
        return [
            self.add_run(
                chr(1_000 + n), step, self.pool[n], started_ms=n * 100 + 1_000
            )
            for n in range(count)
        ]

    def test_tasks_start_up_to_each_limit_of_the_quota(self) -> None:
        step = spec.Step(tasks=30, demand=planning_fixture.make_demand(2))
        waiting = planning_fixture.make_waiting_units("b", step)
        limits = {"max_accelerators": 9, "max_millicores": 6_999}
        for quota, starts in (
            ({}, 30),
            (limits, 3),
            ({"max_memory_mb": 10_000}, 5),
            ({"max_accelerators": 1}, 0),
        ):
            with self.subTest(quota=quota):
                quota = fleet_configuration.Quota(**quota)
                self.assertEqual(starts, len(self.plan(*waiting, quota=quota)))

    def test_processors_of_filling_tasks_count_in_full(self) -> None:
        filling = msgspec.structs.replace(planning_fixture.SINGLE, fills=True)
        self.run_singles(3, filling)
        waiting = planning_fixture.make_waiting_units("b", filling)
        quota = fleet_configuration.Quota(max_millicores=3_999)
        self.assertEqual([], self.plan(*waiting, quota=quota))

    def test_run_counts_until_its_last_member_is_gone(self) -> None:
        # A stopped run whose worker does not answer may still run.
        gang = planning_fixture.make_gang(2, accelerators=4)
        run = self.add_run("b", gang, *self.pool[:2], started_ms=1_000)
        run.end(run_states.EndCause.STALLED)
        (unit,) = planning_fixture.make_waiting_units(
            "c", planning_fixture.make_gang(1)
        )
        for member in run.members:
            self.assertEqual([], self.plan(unit))
            self.table.mark_gone(run, member)
        self.assertEqual(1, len(self.plan(unit)))

    def test_other_accounts_start_while_one_is_at_its_quota(self) -> None:
        # The shape of a unit held back by its quota must not be taken for one
        # that fits nowhere, nor may the unit reserve workers.
        self.pool = self.pool[:1]
        own, other = (
            planning_fixture.make_waiting_units(
                job, planning_fixture.make_gang(2, accelerators=4)
            )[0]
            for job in "bc"
        )
        submission = msgspec.structs.replace(
            other.submission, account=ids.AccountId("other")
        )
        other = msgspec.structs.replace(other, submission=submission)
        quota = fleet_configuration.Quota(max_accelerators=7)
        (decision,) = self.plan(own, other, quota=quota)
        self.assertEqual("c", decision.waiting.key.job)
        limit = self.planner.quotas.never_fitting[own.key.unit]
        self.assertEqual((8, 7), (limit.needed, limit.quota))

    def test_guaranteed_job_preempts_the_youngest_runs_of_its_account(
        self,
    ) -> None:
        runs = self.run_singles(8)
        self.add_run(
            "z", planning_fixture.SINGLE, self.pool[9], started_ms=9_990
        ).submission = msgspec.structs.replace(
            runs[0].submission, account=ids.AccountId("other")
        )
        unit = planning_fixture.make_urgent(
            "b", planning_fixture.make_gang(3, accelerators=1)
        )
        (decision,) = self.plan(unit, guaranteed=8)
        self.assertEqual(
            {run.unit for run in runs[5:]},
            {run.unit for run in decision.victims},
        )
        self.assertGreater(decision.lost_core_s, 0)

    def test_units_of_a_burst_do_not_share_a_running_victim(self) -> None:
        # One victim frees room for one start, so a second start next to it
        # would exceed the quota.
        self.run_singles(8)
        urgent = [
            planning_fixture.make_urgent(
                job, planning_fixture.make_gang(1, accelerators=1)
            )
            for job in "bcd"
        ]
        decisions = self.plan(*urgent, guaranteed=8)
        victims = {run.unit for each in decisions for run in each.victims}
        self.assertEqual((3, 3), (len(decisions), len(victims)))

    def test_quota_below_the_guarantee_takes_precedence(self) -> None:
        unit = planning_fixture.make_urgent("b", planning_fixture.make_gang(2))
        self.assertEqual([], self.plan(unit, guaranteed=16))

    def test_lowered_quota_withdraws_only_what_has_not_started(self) -> None:
        runs = self.run_singles(4)
        runs[0].phase = run_states.RunPhase.RECORDING
        runs[2].phase = run_states.RunPhase.RECORDING
        runs[3].phase = run_states.RunPhase.CLEARING
        victims = {runs[3].unit: [runs[1]]}
        for maximum, withdrawn in ((4, []), (3, []), (2, [2]), (1, [0, 2])):
            account = fleet_configuration.Account(
                account=ACCOUNT,
                keys=frozenset(),
                quota=fleet_configuration.Quota(max_accelerators=maximum),
            )
            found = quotas.runs_beyond_quota((account,), self.table, victims)
            with self.subTest(maximum=maximum):
                self.assertEqual([runs[n] for n in withdrawn], found)

    def test_runs_of_an_unplaced_unit_are_not_free_to_stop_for_others(
        self,
    ) -> None:
        # The first unit would stop them for its quota, but no worker suits it.
        # The second one may not cause the loss of a minute of their work.
        self.pool = self.pool[:1]
        for number in range(8):
            self.add_run(
                chr(1_000 + number),
                planning_fixture.SINGLE,
                self.pool[0],
                started_ms=planning_fixture.NOW_MS - 60_000,
            )
        gang = msgspec.structs.replace(
            planning_fixture.make_gang(1), worker_label="absent"
        )
        unplaced = planning_fixture.make_urgent("b", gang)
        small = planning_fixture.make_urgent(
            "c", planning_fixture.make_gang(1, accelerators=1)
        )
        submission = msgspec.structs.replace(
            small.submission, account=ids.AccountId("other")
        )
        other = msgspec.structs.replace(small, submission=submission)
        self.assertEqual([], self.plan(unplaced, other, guaranteed=8))
