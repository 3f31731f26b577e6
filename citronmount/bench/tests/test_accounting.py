"""Tests of the replay's integrals and fragmentation on small examples."""

import unittest

from citronmount.bench import accounting
from citronmount.bench import pool_usage
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states


class WorkUpperBoundTest(unittest.TestCase):
    def test_work_is_bounded_by_demand_then_capacity_then_backlog(self):
        demand = accounting.StepFunction()
        capacity = accounting.StepFunction()
        capacity.add(0, 2)
        demand.add(0, 1)
        demand.add(10_000, 3)
        demand.add(20_000, -4)
        # 10 s at rate 1, 10 s at rate 2 with a demand of 4, then a backlog of
        # 20 served at rate 2.
        for horizon_s, work_s in ((10, 10), (20, 30), (25, 40), (40, 50)):
            with self.subTest(horizon_s=horizon_s):
                bound_s = accounting.work_upper_bound_s(
                    demand, capacity, horizon_s * 1_000
                )
                self.assertEqual(bound_s, work_s)


class FairShareTrackerTest(unittest.TestCase):
    def _shortfall(self, held_a: int, queued_a: int) -> float:
        a, b = ids.AccountId("a"), ids.AccountId("b")
        shares = accounting.FairShareTracker(guaranteed={a: 2, b: 2})
        shares.set_capacity(10)
        shares.record_allocated(a, held_a)
        shares.record_allocated(b, 10 - held_a)
        shares.record_queued(a, queued_a, 1)
        shares.record_queued(b, 1, 5)
        shares.advance(1_000)
        due_s, short_s = shares.due_and_short_s()[a]
        return short_s / due_s

    def test_account_with_an_even_share_is_not_short(self):
        self.assertEqual(self._shortfall(5, 1), 0.0)

    def test_shortfall_counts_only_if_a_queued_job_fits_into_it(self):
        self.assertEqual(self._shortfall(2, 3), 0.6)
        self.assertEqual(self._shortfall(2, 4), 0.0)

    def test_account_is_due_no_more_than_its_demand(self):
        self.assertEqual(self._shortfall(0, 1), 1.0)


class FragmentationTest(unittest.TestCase):
    def test_half_free_workers_are_unusable_for_tasks_of_whole_workers(self):
        usage = pool_usage.PoolUsage(workers=sites.hanbit().workers)
        domain = ids.FailureDomainId("kr-central-b")
        half = jobs.Resources(accelerators=4, cores=32, memory_gb=64)
        for worker in usage.workers_by_domain[domain]:
            spec = jobs.JobSpec(
                job=ids.JobId("j"), account=ids.AccountId("ara"), per_task=half
            )
            group = jobs.TaskGroup(worker=worker, tasks=1)
            usage.update_allocation(spec, jobs.Placement(groups=(group,)), 1)
        whole_worker = pool_usage.GangShape(
            tasks=1,
            per_task=sites.HANBIT_WORKER,
            adjacency=states.Adjacency.WORKER,
        )
        half_workers = pool_usage.GangShape(
            tasks=2, per_task=half, adjacency=states.Adjacency.RACK
        )
        fragmentation = pool_usage.FragmentationMean()
        fragmentation.record(
            usage, domain, {whole_worker: 1.0, half_workers: 3.0}
        )
        self.assertEqual(fragmentation.ratio, 0.25)

    def test_partial_gang_and_gang_over_capacity_are_refused(self):
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
    def test_percentiles_are_nearest_rank(self):
        summary = report.percentiles([float(n) for n in range(100, 0, -1)])
        self.assertEqual((summary.p50, summary.p99), (50.0, 99.0))
        self.assertEqual(report.percentiles([]).count, 0)
