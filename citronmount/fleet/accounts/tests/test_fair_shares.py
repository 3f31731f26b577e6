import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet import planning
from citronmount.fleet.accounts import fair_shares
from citronmount.fleet.queueing import waiting_units
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import spec

TASKS = spec.Step(
    tasks=12, demand=planning_fixture.TASK_DEMAND, estimate_ms=9_000
)


def wait_for(
    job: str, account: str, step: spec.Step = TASKS
) -> list[waiting_units.WaitingUnit]:
    """Returns units; a job that is later in the alphabet has a later end."""
    waiting = planning_fixture.make_waiting_units(
        job, step, accepted_ms=planning_fixture.WALL_MS
    )
    submission = msgspec.structs.replace(
        waiting[0].submission, account=ids.AccountId(account)
    )
    return [
        msgspec.structs.replace(unit, submission=submission) for unit in waiting
    ]


class FairSharesTest(planning_fixture.PlanningTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.pool = self.pool[:2]
        self.shares = fair_shares.FairShares()

    def starts(
        self,
        *units: waiting_units.WaitingUnit,
        shares: fair_shares.FairShares | None,
        now_ms: int = planning_fixture.NOW_MS,
        **weights: float,
    ) -> str:
        """Returns the job of each start, in order."""
        accounts = [
            fleet_configuration.Account(
                account=ids.AccountId(name), keys=frozenset(), weight=weight
            )
            for name, weight in weights.items()
        ]
        if shares is not None:
            shares.observe(accounts, self.table, now_ms)
        planner = planning.Planner(
            workers=self.pool,
            table=self.table,
            accounts=accounts,
            bounds=fleet_configuration.Bounds(),
            now_ms=now_ms,
            wall_ms=planning_fixture.WALL_MS,
            shares=shares,
        )
        return "".join(each.waiting.key.job for each in planner.decide(units))

    def test_accounts_start_by_weight_while_more_waits_than_fits(self) -> None:
        waiting = [*wait_for("b", "many"), *wait_for("c", "few")]
        for weights, expected in (
            ({"many": 1, "few": 1}, "b" * 8 + "c" * 8),
            ({"many": 1, "few": 3}, "b" * 4 + "c" * 12),
            ({}, "b" * 12 + "c" * 4),
        ):
            with self.subTest(weights=weights):
                shares = fair_shares.FairShares()
                started = self.starts(*waiting, shares=shares, **weights)
                self.assertEqual(expected, started)

    def test_order_is_unchanged_with_room_to_spare(self) -> None:
        half = msgspec.structs.replace(TASKS, tasks=8)
        waiting = [*wait_for("b", "many", half), *wait_for("c", "few", half)]
        self.assertEqual(
            self.starts(*waiting, shares=None),
            self.starts(*waiting, shares=self.shares, many=1, few=9),
        )
        self.assertEqual({}, self.shares.over_share)

    def test_gang_starts_beside_earlier_tasks_of_another_account(self) -> None:
        gang = msgspec.structs.replace(
            planning_fixture.make_gang(2, accelerators=4), estimate_ms=12_000
        )
        waiting = [*wait_for("b", "many"), *wait_for("c", "few", gang)]
        self.assertEqual("b" * 12, self.starts(*waiting, shares=None))
        started = self.starts(*waiting, shares=self.shares, many=1, few=1)
        self.assertEqual("b" * 8 + "c", started)

    def test_gang_larger_than_the_share_of_its_account_starts(self) -> None:
        # Were the gang itself counted, it would never be under the share.
        gang = planning_fixture.make_gang(3, accelerators=4)
        waiting = [*wait_for("b", "few", gang), *wait_for("c", "many")]
        started = self.starts(*waiting, shares=self.shares, many=1, few=1)
        self.assertEqual("b" + "c" * 4, started)

    def test_past_use_counts_until_it_has_decayed(self) -> None:
        # A burst must not be held against its account for minutes.
        run = self.add_run(
            "r", planning_fixture.make_gang(2), *self.pool, started_ms=0
        )
        waiting = [*wait_for("b", "a"), *wait_for("c", "few")]
        for shares in (self.shares, fair_shares.FairShares()):
            self.starts(*waiting, shares=shares, now_ms=0, a=1, few=1)
            # The next owner starts from what runs.
            self.assertEqual(1.0, shares.shares["a"].used)
        for member in run.members:
            self.table.mark_gone(run, member)
        self.table.remove(run)
        for now_ms, first in ((1_000, "c" * 8), (30_000, "b" * 6)):
            started = self.starts(
                *waiting, shares=self.shares, now_ms=now_ms, a=1, few=1
            )
            self.assertEqual(first, started[: len(first)])
