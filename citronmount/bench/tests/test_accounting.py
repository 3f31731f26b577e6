"""Tests of the integrals and of fragmentation, by hand-worked cases."""

import unittest

from citronmount.bench import accounting
from citronmount.bench import pool_usage
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states


class AllowedWorkTest(unittest.TestCase):
    def test_bound_by_demand_then_by_capacity_then_backlog(self):
        demand = accounting.StepFunction()
        capacity = accounting.StepFunction()
        capacity.add(0, 2)
        demand.add(0, 1)
        demand.add(10_000, 3)
        demand.add(20_000, -4)
        # 10 s at 1, 10 s at 2 of 4, then 20 left over at 2 a second.
        for horizon_s, done in ((10, 10), (20, 30), (25, 40), (40, 50)):
            with self.subTest(horizon_s=horizon_s):
                allowed = accounting.work_upper_bound_s(
                    demand, capacity, horizon_s * 1_000
                )
                self.assertEqual(allowed, done)


class ServedSharesTest(unittest.TestCase):
    def _short(self, held_a: int, queued_a: int) -> float:
        a, b = ids.AccountId("a"), ids.AccountId("b")
        shares = accounting.FairShareTracker(guaranteed={a: 2, b: 2})
        shares.set_capacity(10)
        shares.record_allocated(a, held_a)
        shares.record_allocated(b, 10 - held_a)
        shares.record_queued(a, queued_a, 1)
        shares.record_queued(b, 1, 5)
        shares.advance(1_000)
        due, short = shares.due_and_short_s()[a]
        return short / due

    def test_even_shares_are_not_short(self):
        self.assertEqual(self._short(5, 1), 0.0)

    def test_shortfall_counts_if_a_job_would_fit_into_it(self):
        self.assertEqual(self._short(2, 3), 0.6)
        self.assertEqual(self._short(2, 4), 0.0)

    def test_small_demand_is_due_no_more_than_it_asks(self):
        self.assertEqual(self._short(0, 1), 1.0)


class FragmentationTest(unittest.TestCase):
    def test_room_scattered_over_workers_is_unusable_to_wide_tasks(self):
        usage = pool_usage.PoolUsage(workers=sites.hanbit().workers)
        domain = ids.FailureDomainId("kr-central-b")
        half = jobs.Resources(accelerators=4, cores=32, memory_gb=64)
        for worker in usage.workers_by_domain[domain]:
            spec = jobs.JobSpec(
                job=ids.JobId("j"), account=ids.AccountId("ara"), per_task=half
            )
            group = jobs.TaskGroup(worker=worker, tasks=1)
            usage.update_allocation(spec, jobs.Placement(groups=(group,)), 1)
        wide = pool_usage.GangShape(
            tasks=1,
            per_task=sites.HANBIT_WORKER,
            adjacency=states.Adjacency.WORKER,
        )
        narrow = pool_usage.GangShape(
            tasks=2, per_task=half, adjacency=states.Adjacency.RACK
        )
        samples = pool_usage.FragmentationMean()
        samples.record(usage, domain, {wide: 1.0, narrow: 3.0})
        self.assertEqual(samples.ratio, 0.25)

    def test_partial_or_overfull_gangs_are_caught(self):
        usage = pool_usage.PoolUsage(workers=sites.hanbit().workers)
        worker = next(iter(usage.workers))
        for tasks, placed in ((2, 1), (9, 9)):
            spec = jobs.JobSpec(
                job=ids.JobId("j"), account=ids.AccountId("ara"), tasks=tasks
            )
            group = jobs.TaskGroup(worker=worker, tasks=placed)
            with self.assertRaises(ValueError):
                usage.update_allocation(
                    spec, jobs.Placement(groups=(group,)), 1
                )


class PercentilesTest(unittest.TestCase):
    def test_nearest_rank(self):
        summary = report.percentiles([float(n) for n in range(100, 0, -1)])
        self.assertEqual((summary.p50, summary.p99), (50.0, 99.0))
        self.assertEqual(report.percentiles([]).count, 0)
