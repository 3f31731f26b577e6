import collections
import unittest

from citronmount.membership import rendezvous

VMS = [f"vm-{n}" for n in range(8)]
KEYS = [f"worker-{n}" for n in range(2_000)]


class RendezvousTest(unittest.TestCase):
    def test_choice_does_not_depend_on_candidate_order(self):
        for key in KEYS[:50]:
            self.assertEqual(
                rendezvous.choose(key, VMS),
                rendezvous.choose(key, reversed(VMS)),
            )

    def test_removing_a_vm_moves_only_its_keys(self):
        for key in KEYS:
            before = rendezvous.choose(key, VMS)
            after = rendezvous.choose(key, VMS[1:])
            if before != VMS[0]:
                self.assertEqual(before, after)
            else:
                self.assertEqual(after, rendezvous.rank(key, VMS)[1])

    def test_keys_are_distributed_evenly(self):
        counts = collections.Counter(
            rendezvous.choose(key, VMS) for key in KEYS
        )
        mean = len(KEYS) / len(VMS)
        self.assertLess(max(counts.values()), 1.3 * mean)
        self.assertGreater(min(counts.values()), 0.7 * mean)


if __name__ == "__main__":
    unittest.main()
