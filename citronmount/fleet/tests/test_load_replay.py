import unittest

from citronmount.fleet.tests import load_replay


class LoadReplayTest(unittest.TestCase):
    def test_a_seed_gives_the_same_decisions_again(self) -> None:
        """Guards against planning that depends on the order of sets."""
        first, second = (
            load_replay.replay(workers=48, seconds=8) for _ in range(2)
        )
        self.assertEqual(first, second)
