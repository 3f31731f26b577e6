import unittest

from citronmount.bench.faults import sabotage

_SABOTAGED_PROPERTIES = {
    "guarantee-reclaimable",
    "gang-whole",
    "domain-out",
    "own-whole-answer",
    "not-run-is-true",
    "at-most-once",
    "leaving-target",
    "graceful-stop",
    "configuration-in-force",
}


class SabotageTest(unittest.TestCase):
    def test_every_listed_property_has_a_sabotage(self):
        properties = {entry.promise for entry in sabotage.SABOTAGES.values()}
        self.assertEqual(_SABOTAGED_PROPERTIES, properties - {sabotage.ANY})

    def test_checks_catch_each_sabotage_and_pass_without_it(self):
        for name, entry in sabotage.SABOTAGES.items():
            with self.subTest(name=name, promise=entry.promise):
                result = sabotage.run_until_caught(name)
                self.assertIsNotNone(result)
                control = sabotage.run_control(name, result.plan.seed)
                broken = sabotage.broken_properties(control)
                self.assertNotIn(entry.promise, broken)


if __name__ == "__main__":
    unittest.main()
