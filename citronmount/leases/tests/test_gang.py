import itertools
import unittest

from citronmount.leases import gang

INPUTS = ("all_reserved", "all_started", "all_finished", "abort", "all_stopped")
TRANSITIONS = {
    ("reserving", "all_reserved"): "starting",
    ("reserving", "abort"): "stopping",
    ("starting", "all_started"): "running",
    ("starting", "all_finished"): "ended",
    ("starting", "abort"): "stopping",
    ("running", "all_finished"): "ended",
    ("running", "abort"): "stopping",
    ("stopping", "all_stopped"): "ended",
}


class GangTest(unittest.TestCase):
    def test_inputs_cause_only_the_allowed_transitions(self):
        for inputs in itertools.product(INPUTS, repeat=4):
            machine, state = gang.new_gang()
            for name in inputs:
                before = state.phase.value
                after = TRANSITIONS.get((before, name), before)
                moved = getattr(machine, name)()
                self.assertEqual(state.phase.value, after, inputs)
                self.assertEqual(moved, (before, name) in TRANSITIONS, inputs)

    def test_nothing_may_have_run_before_all_members_have_reserved(self):
        machine, state = gang.new_gang()
        machine.abort()
        self.assertFalse(state.may_have_run)
        machine, state = gang.new_gang()
        machine.all_reserved()
        self.assertTrue(state.may_have_run)


if __name__ == "__main__":
    unittest.main()
