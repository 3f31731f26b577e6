import itertools
import unittest

from citronmount.bench.faults import __main__
from citronmount.bench.faults import availability
from citronmount.bench.faults import matrix
from citronmount.bench.faults import matrix_cell
from citronmount.bench.faults import property_checks
from citronmount.bench.faults import registry
from citronmount.telemetry import timeline_events

_SEED = 1
_STEP_STRIDE = 5


def _failed(results):
    """Returns command, violations and contradictions of each failed cell."""
    return [
        (result.plan.command, result.violations, result.contradictions)
        for result in results
        if not result.held
    ]


class FaultTest(unittest.TestCase):
    """Runs each fault at a fifth of the steps.

    `python -m citronmount.bench.faults` runs every fault at every step.
    """

    maxDiff = None


def _add_fault_tests():
    plans = list(matrix.single_fault_plans(_SEED))
    for number, fault in enumerate(registry.FAULTS):
        fault_plans = [plan for plan in plans if plan.strikes[0][0] == fault]
        sample = fault_plans[number % _STEP_STRIDE :: _STEP_STRIDE]

        def test(self, sample=sample):
            results = [matrix.run_cell(plan)[0] for plan in sample]
            self.assertEqual([], _failed(results))

        name = f"test_{fault.replace('-', '_')}"
        setattr(FaultTest, name, test)


_add_fault_tests()


class MatrixTest(unittest.TestCase):
    def test_run_without_faults_holds_and_is_reproducible(self):
        plan = matrix.Plan(strikes=(), seed=3)
        first_result, first_cell = matrix.run_cell(plan)
        second_result, second_cell = matrix.run_cell(plan)
        self.assertTrue(first_result.held, first_result)
        self.assertEqual(first_result, second_result)
        self.assertEqual(
            first_cell.harness.timeline, second_cell.harness.timeline
        )

    def test_single_fault_plans_cover_every_fault_and_step(self):
        planned = {plan.strikes[0] for plan in matrix.single_fault_plans(_SEED)}
        expected = set(itertools.product(registry.FAULTS, registry.STEPS))
        self.assertEqual(expected, planned)

    def test_fault_pair_plans_cover_every_pair(self):
        pairs = {
            frozenset(fault for fault, _ in plan.strikes)
            for plans in matrix.fault_pair_plans(_SEED)
            for plan in plans
        }
        expected = itertools.combinations_with_replacement(registry.FAULTS, 2)
        self.assertEqual(set(map(frozenset, expected)), pairs)

    def test_sampled_fault_pairs_hold(self):
        sample = itertools.islice(matrix.fault_pair_plans(_SEED), 0, None, 13)
        results = itertools.chain.from_iterable(
            map(matrix.run_until_reached, sample)
        )
        self.assertEqual([], _failed(results))

    def test_json_command_returns_an_exit_status(self):
        arguments = ["--fault", "log-slow", "--step", "job.accept", "--json"]
        self.assertIn(__main__.main(arguments), (0, 1))

    def test_idempotent_requests_succeed_although_a_vm_dies(self):
        rows = availability.measure(requests=400, gap_ms=50, seeds=(1,))
        idempotent, not_idempotent = rows
        self.assertEqual({"done": 1_200}, idempotent.last)
        self.assertEqual(1_200, not_idempotent.requests)
        self.assertEqual(0, idempotent.violations)

    def test_killed_owner_is_replaced_within_the_takeover_bound(self):
        for seed in range(3):
            strikes = (("misdeclared-sizes", "takeover.suspect"),)
            plan = matrix.Plan(strikes=strikes, seed=seed)
            _, cell = matrix.run_cell(plan)
            killed_ms = matrix_cell.TRIGGER_MS
            rebuild_times_ms = [
                at_ms - killed_ms
                for at_ms, event in cell.harness.timeline
                if event.kind is timeline_events.EventKind.REBUILD_DONE
                and event.failure_domain == cell.focus_domain
                and at_ms > killed_ms
            ]
            self.assertLess(
                rebuild_times_ms[0], property_checks.TAKEOVER_BOUND_MS
            )


if __name__ == "__main__":
    unittest.main()
