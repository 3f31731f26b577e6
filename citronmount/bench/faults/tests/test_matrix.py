import itertools
import unittest

from citronmount.bench.faults import __main__ as command
from citronmount.bench.faults import availability
from citronmount.bench.faults import cell as cell_lib
from citronmount.bench.faults import matrix
from citronmount.bench.faults import promises
from citronmount.bench.faults import registry
from citronmount.telemetry import timeline_events

_SEED = 1
_EVERY = 5


def _failed(results):
    """Returns one entry for each cell that did not hold."""
    return [
        (result.plan.command, result.violations, result.contradictions)
        for result in results
        if not result.held
    ]


class FaultTest(unittest.TestCase):
    """Each fault at a fifth of the steps; the command runs all of them."""

    maxDiff = None


def _add_fault_tests():
    plans = list(matrix.all_singles(_SEED))
    for number, fault in enumerate(registry.FAULTS):
        own = [plan for plan in plans if plan.strikes[0][0] == fault]
        sample = own[number % _EVERY :: _EVERY]

        def test(self, sample=sample):
            results = [matrix.run_cell(plan)[0] for plan in sample]
            self.assertEqual([], _failed(results))

        name = f"test_{fault.replace('-', '_')}"
        setattr(FaultTest, name, test)


_add_fault_tests()


class MatrixTest(unittest.TestCase):
    def test_undisturbed_runs_hold_and_repeat(self):
        plan = matrix.Plan(strikes=(), seed=3)
        result, cell = matrix.run_cell(plan)
        again, same = matrix.run_cell(plan)
        self.assertTrue(result.held, result)
        self.assertEqual(result, again)
        self.assertEqual(cell.harness.timeline, same.harness.timeline)

    def test_every_fault_meets_every_step(self):
        met = {plan.strikes[0] for plan in matrix.all_singles(_SEED)}
        every = set(itertools.product(registry.FAULTS, registry.STEPS))
        self.assertEqual(every, met)

    def test_every_pair_of_faults_occurs(self):
        pairs = {
            frozenset(fault for fault, _ in plan.strikes)
            for plans in matrix.all_pairs(_SEED)
            for plan in plans
        }
        every = itertools.combinations_with_replacement(registry.FAULTS, 2)
        self.assertEqual(set(map(frozenset, every)), pairs)

    def test_a_sample_of_pairs_holds(self):
        sample = itertools.islice(matrix.all_pairs(_SEED), 0, None, 13)
        results = itertools.chain.from_iterable(map(matrix.run_pair, sample))
        self.assertEqual([], _failed(results))

    def test_command_counts_what_it_runs(self):
        arguments = ["--fault", "log-slow", "--step", "job.accept", "--json"]
        self.assertIn(command.main(arguments), (0, 1))

    def test_idempotent_requests_outlive_any_vm(self):
        rows = availability.measure(requests=400, gap_ms=50, seeds=(1,))
        idempotent, once = rows
        self.assertEqual({"done": 1_200}, idempotent.last)
        self.assertEqual(1_200, once.requests)
        self.assertEqual(0, idempotent.violations)

    def test_owner_that_dies_is_replaced_in_time(self):
        for seed in range(3):
            strikes = (("misdeclared-sizes", "takeover.suspect"),)
            plan = matrix.Plan(strikes=strikes, seed=seed)
            _, cell = matrix.run_cell(plan)
            killed_ms = cell_lib.TRIGGER_MS
            rebuilt = [
                at_ms - killed_ms
                for at_ms, event in cell.harness.timeline
                if event.kind is timeline_events.EventKind.REBUILD_DONE
                and event.failure_domain == cell.focus
                and at_ms > killed_ms
            ]
            self.assertLess(rebuilt[0], promises.TAKE_OVER_MS)


if __name__ == "__main__":
    unittest.main()
