from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import run_time_metrics
from citronmount.fleet_service.tests import pool_fixture
from citronmount.telemetry import metrics_registry


class RunTimeMetricsTest(pool_fixture.PoolTestCase):
    features = frozenset({fleet_configuration.Feature.RUN_TIME_ESTIMATES})

    def gauges(self, vm: int) -> dict[str, float]:
        registry = metrics_registry.MetricsRegistry()
        run_time_metrics.register(registry, lambda: self.pool_vms[vm].run_times)
        return registry.snapshot().gauges

    def test_owner_reports_runs_and_errors_and_others_report_nothing(
        self,
    ) -> None:
        for number in range(30):
            self.submit(f"j{number}", pool_fixture.make_step(estimate_ms=3_000))
        self.run_for(3.0)
        owner = self.owner_index()
        gauges = self.gauges(owner)
        self.assertEqual(30, gauges["run_times.runs"])
        self.assertEqual(3, gauges["run_times.keys"])
        self.assertLess(
            gauges["run_times.learned_error"],
            gauges["run_times.declared_error"],
        )
        other = self.gauges((owner + 1) % self.vm_count)
        self.assertEqual({0.0}, set(other.values()))
