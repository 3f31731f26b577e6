import itertools
import unittest

from citronmount.leases import gang as gang_lib

INPUTS = ("all_reserved", "all_started", "all_finished", "abort", "all_stopped")
ALLOWED = {
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
    def test_only_the_allowed_moves_are_made(self):
        for inputs in itertools.product(INPUTS, repeat=4):
            gang, core = gang_lib.new_gang()
            for given in inputs:
                before = core.phase.value
                after = ALLOWED.get((before, given), before)
                moved = getattr(gang, given)()
                self.assertEqual(core.phase.value, after, inputs)
                self.assertEqual(moved, (before, given) in ALLOWED, inputs)

    def test_nothing_may_have_run_before_all_have_reserved(self):
        gang, core = gang_lib.new_gang()
        gang.abort()
        self.assertFalse(core.may_have_run)
        gang, core = gang_lib.new_gang()
        gang.all_reserved()
        self.assertTrue(core.may_have_run)


if __name__ == "__main__":
    unittest.main()
