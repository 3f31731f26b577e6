import unittest

from citronmount.bench import pool_replay

WORKERS = 40


class PoolReplayTest(unittest.TestCase):
    def test_same_seed_gives_the_same_day(self) -> None:
        first = pool_replay.replay(3, WORKERS, 1.0)
        self.assertEqual(first, pool_replay.replay(3, WORKERS, 1.0))
        self.assertNotEqual(first, pool_replay.replay(4, WORKERS, 1.0))

    def test_urgent_jobs_are_served_first_in_an_overload(self) -> None:
        result = pool_replay.replay(1, WORKERS, 1.5)
        shares = {
            name: queue.earned / queue.owed
            for name, queue in result.queues.items()
        }
        self.assertGreater(shares["urgent"], shares["gangs"])
        self.assertGreater(shares["urgent"], shares["singles"])
        self.assertGreater(result.preemptions, 0)

    def test_light_load_is_served_almost_without_preemption(self) -> None:
        result = pool_replay.replay(1, 4 * WORKERS, 0.25)
        singles = result.queues["singles"]
        self.assertEqual(singles.jobs, singles.on_time)
        self.assertLess(result.preemptions, 10)
