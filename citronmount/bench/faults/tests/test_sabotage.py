import unittest

from citronmount.bench.faults import sabotage

_NINE = {
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
    def test_every_promise_has_a_sabotage(self):
        promises = {s.promise for s in sabotage.SABOTAGES.values()}
        self.assertEqual(_NINE, promises - {sabotage.ANY})

    def test_the_matrix_catches_each(self):
        for name, entry in sabotage.SABOTAGES.items():
            with self.subTest(name=name, promise=entry.promise):
                result = sabotage.caught_by(name)
                self.assertIsNotNone(result)
                control = sabotage.without(name, result.plan.seed)
                broken = sabotage.broken_promises(control)
                self.assertNotIn(entry.promise, broken)


if __name__ == "__main__":
    unittest.main()
