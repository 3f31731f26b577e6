import types

import structlog
from structlog import testing

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.accounts import quota_monitor
from citronmount.fleet.accounts import quotas
from citronmount.fleet.tests import planning_fixture


class QuotaMonitorTest(planning_fixture.PlanningTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.add_run(
            "b", planning_fixture.SINGLE, self.pool[0], started_ms=1_000
        )
        self.account = fleet_configuration.Account(
            account=ids.AccountId("a"),
            keys=frozenset(),
            quota=fleet_configuration.Quota(max_accelerators=1),
        )

    def test_one_line_at_the_begin_and_at_the_end_of_a_limit(self) -> None:
        # A line for each round would exceed the limit of log lines.
        monitor = quota_monitor.QuotaMonitor(
            state=types.SimpleNamespace(
                table=self.table, log=structlog.get_logger()
            )
        )
        gang = planning_fixture.make_gang(1, accelerators=2)
        (unit,) = planning_fixture.make_waiting_units("c", gang)
        with testing.capture_logs() as events:
            for now_ms in range(0, 5_000, 100):
                round_quotas = quotas.Quotas(
                    accounts=(self.account,), runs=self.table
                )
                if now_ms < 2_000:
                    round_quotas.victims_for(unit, (), lambda run: 0.0)
                monitor.update(round_quotas, 7, now_ms)
        limit = {"resource": "accelerators", "quota": 1, "version": 7}
        line = {**limit, "account": "a", "used": 1, "log_level": "info"}
        self.assertEqual(
            [
                {**line, "event": "account_limited"},
                {
                    **limit,
                    "event": "unit_exceeds_quota",
                    "unit": unit.key.unit,
                    "needed": 2,
                    "log_level": "warning",
                },
                {**line, "event": "account_not_limited"},
            ],
            events,
        )

    def test_gauges_name_limited_resources_only(self) -> None:
        name = "a.accelerators"
        self.assertEqual(
            {f"quota.used.{name}": 1, f"quota.limit.{name}": 1},
            quota_monitor.gauges((self.account,), self.table),
        )
