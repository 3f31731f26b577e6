import unittest

from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import scheduler
from citronmount.core import states
from citronmount.core.tests import fixtures

AttemptEnd = decisions.AttemptEnd


def new_scheduler(configuration, workers, policy="citron"):
    domain_scheduler = scheduler.DomainScheduler(
        failure_domain=fixtures.FAILURE_DOMAIN, policy=policy
    )
    domain_scheduler.set_configuration(configuration)
    domain_scheduler.set_workers(tuple(workers))
    return domain_scheduler


def scheduler_with_four_workers(policy="citron", **more):
    configuration = fixtures.configuration(
        guarantees=[fixtures.guarantee("paying", 2, 1, 8)],
        paying=["extra"],
        allowances={"trial": 32},
        **more,
    )
    return new_scheduler(configuration, map(fixtures.worker, range(4)), policy)


def fill_with_trials(domain_scheduler, jobs=32):
    for number in range(jobs):
        domain_scheduler.submit(fixtures.spec(f"t{number}", "trial"), 0)
    return domain_scheduler.decide(0)


class PreemptionTest(unittest.TestCase):
    def test_guaranteed_job_evicts_trial_jobs(self):
        domain_scheduler = scheduler_with_four_workers()
        self.assertEqual(len(fill_with_trials(domain_scheduler)), 32)
        domain_scheduler.submit(fixtures.spec("p", "paying", 1, 8), 1)
        evicted = domain_scheduler.decide(1)
        self.assertEqual(
            {type(eviction) for eviction in evicted}, {decisions.EvictJob}
        )
        self.assertEqual(len(evicted), 8)
        self.assertEqual(domain_scheduler.decide(2), [])
        for decision in evicted:
            domain_scheduler.attempt_ended(
                decision.job, AttemptEnd.EVICTED, 3, requeue=True
            )
        placed = domain_scheduler.decide(3)
        self.assertEqual([decision.job for decision in placed], ["kr-a/p"])
        self.assertFalse(domain_scheduler.revocable(placed[0].job))

    def test_cancelling_pending_placement_frees_its_resources(self):
        domain_scheduler = scheduler_with_four_workers()
        fill_with_trials(domain_scheduler)
        domain_scheduler.submit(fixtures.spec("p", "paying", 1, 8), 1)
        evicted = domain_scheduler.decide(1)
        self.assertTrue(
            domain_scheduler.cancel(fixtures.spec("p", "paying").job)
        )
        for decision in evicted:
            domain_scheduler.attempt_ended(
                decision.job, AttemptEnd.EVICTED, 3, requeue=True
            )
        self.assertEqual(len(domain_scheduler.decide(3)), 8)

    def test_idempotent_trial_jobs_are_evicted_first(self):
        domain_scheduler = scheduler_with_four_workers()
        for number in range(4):
            spec = fixtures.spec(
                f"t{number}", "trial", 1, 8, idempotent=number == 2
            )
            domain_scheduler.submit(spec, 0)
        domain_scheduler.decide(0)
        domain_scheduler.submit(fixtures.spec("p", "paying", 1, 8), 1)
        self.assertEqual(
            [decision.job for decision in domain_scheduler.decide(1)],
            ["kr-a/t2"],
        )

    def test_paying_job_beyond_guarantee_preempts_trial_after_30_s(self):
        domain_scheduler = scheduler_with_four_workers()
        for number in range(2):
            name = fixtures.worker(number).name
            domain_scheduler.set_worker_state(
                name, states.TargetState.LEAVING, 0
            )
            domain_scheduler.submit(
                fixtures.spec(f"t{number}", "trial", 1, 8), 0
            )
        domain_scheduler.decide(0)
        domain_scheduler.submit(fixtures.spec("x", "extra", 4, 2), 0)
        self.assertEqual(domain_scheduler.decide(29_999), [])
        (evicted,) = domain_scheduler.decide(30_000)
        for name in "pq":
            domain_scheduler.submit(fixtures.spec(name, "paying", 1, 8), 30_001)
        (reclaimed,) = domain_scheduler.decide(30_001)
        for job in (evicted.job, reclaimed.job):
            domain_scheduler.attempt_ended(
                job, AttemptEnd.EVICTED, 30_002, requeue=True
            )
        placed = {decision.job for decision in domain_scheduler.decide(30_002)}
        self.assertEqual(placed, {"kr-a/p", "kr-a/q"})
        self.assertIn("kr-a/x", domain_scheduler.queued())

    def test_urgent_job_takes_cell_of_its_account_first(self):
        domain_scheduler = scheduler_with_four_workers()
        for number in range(4):
            account = ("paying", "extra")[number // 2]
            domain_scheduler.submit(
                fixtures.spec(f"j{number}", account, 1, 8), number
            )
        domain_scheduler.decide(3)
        domain_scheduler.submit(
            fixtures.spec("now", "paying", 1, 8, urgent=True), 4
        )
        (evicted,) = domain_scheduler.decide(4)
        self.assertEqual(evicted.grace_ms, 500)
        self.assertIn(evicted.job, ("kr-a/j1", "kr-a/j2", "kr-a/j3"))
        domain_scheduler.attempt_ended(
            evicted.job, AttemptEnd.EVICTED, 5, requeue=True
        )
        self.assertEqual(
            [decision.job for decision in domain_scheduler.decide(5)],
            ["kr-a/now"],
        )
        self.assertFalse(domain_scheduler.revocable("kr-a/j0"))

    def test_urgent_job_beyond_guarantee_preempts_job_of_its_account(self):
        domain_scheduler = scheduler_with_four_workers()
        for number in range(4):
            domain_scheduler.submit(
                fixtures.spec(f"j{number}", "extra", 1, 8), number
            )
        domain_scheduler.decide(3)
        domain_scheduler.submit(
            fixtures.spec("now", "extra", 1, 1, urgent=True), 4
        )
        (evicted,) = domain_scheduler.decide(4)
        self.assertEqual(evicted.beneficiary, "kr-a/now")
        domain_scheduler.attempt_ended(
            evicted.job, AttemptEnd.EVICTED, 5, requeue=True
        )
        self.assertEqual(
            [decision.job for decision in domain_scheduler.decide(5)],
            ["kr-a/now"],
        )

    def test_job_beyond_guarantee_is_bound_to_cell_that_becomes_free(self):
        domain_scheduler = scheduler_with_four_workers()
        for number in range(3):
            domain_scheduler.submit(
                fixtures.spec(f"p{number}", "paying", 1, 8), number
            )
            domain_scheduler.decide(number)
        self.assertTrue(domain_scheduler.revocable("kr-a/p2"))
        domain_scheduler.attempt_ended("kr-a/p0", AttemptEnd.DONE, 5)
        domain_scheduler.decide(5)
        self.assertFalse(domain_scheduler.revocable("kr-a/p2"))


class AvailabilityTest(unittest.TestCase):
    def test_nothing_is_placed_in_failure_domain_out_of_service(self):
        domain_scheduler = scheduler_with_four_workers(
            out=[fixtures.FAILURE_DOMAIN]
        )
        domain_scheduler.submit(fixtures.spec("p", "paying", 1, 8), 0)
        self.assertEqual(domain_scheduler.decide(0), [])
        self.assertEqual(domain_scheduler.queued(), ("kr-a/p",))

    def test_workers_that_are_not_up_get_no_tasks(self):
        for state in set(states.TargetState) - {states.TargetState.UP}:
            domain_scheduler = scheduler_with_four_workers()
            for number in range(4):
                name = fixtures.worker(number).name
                domain_scheduler.set_worker_state(name, state, 0)
            domain_scheduler.submit(fixtures.spec("p", "paying", 1, 8), 0)
            self.assertEqual(domain_scheduler.decide(0), [], state)


class AdmissionTest(unittest.TestCase):
    def test_invalid_jobs_are_refused_with_their_reason(self):
        domain_scheduler = scheduler_with_four_workers()
        cases = (
            (fixtures.spec("a", "nobody"), codes.ResultCode.UNKNOWN_ACCOUNT),
            (
                fixtures.spec("b", "paying", 2, 8),
                codes.ResultCode.NEVER_FITS,
            ),
            (
                fixtures.spec("c", "trial", 5, 8, "failure_domain"),
                codes.ResultCode.NEVER_FITS,
            ),
            (
                fixtures.spec(
                    "d", "paying", deadline_ms=1_000, submitted_ms=2_000
                ),
                codes.ResultCode.DEADLINE_PASSED,
            ),
            (
                fixtures.spec(
                    "e", "paying", deadline_ms=32_000, submitted_ms=2_000
                ),
                codes.ResultCode.DECLARED_TIME_TOO_LONG,
            ),
            (
                fixtures.spec("f", "paying", 0),
                codes.ResultCode.INVALID_REQUEST,
            ),
        )
        for spec, code in cases:
            self.assertEqual(
                domain_scheduler.submit(spec, 2_000).code, code, spec.job
            )
        self.assertEqual(domain_scheduler.queued(), ())

    def test_queued_job_ends_when_its_deadline_passes(self):
        domain_scheduler = scheduler_with_four_workers(
            out=[fixtures.FAILURE_DOMAIN]
        )
        spec = fixtures.spec(
            "d", "paying", deadline_ms=102_000, submitted_ms=2_000
        )
        self.assertIsNone(domain_scheduler.submit(spec, 2_000))
        self.assertEqual(domain_scheduler.decide(101_999), [])
        (ended,) = domain_scheduler.decide(102_000)
        self.assertEqual(ended.result.code, codes.ResultCode.DEADLINE_PASSED)


class FailureTest(unittest.TestCase):
    def fail_placement(self, domain_scheduler, job, now_ms, worker=None):
        """Decides and fails the first matching placement at its start.

        Returns:
            The final result of the job, or None if it is queued again.
        """
        for decision in domain_scheduler.decide(now_ms):
            workers = [group.worker for group in decision.placement.groups]
            if decision.job == job or worker in workers:
                culprits = (worker or workers[0],)
                return domain_scheduler.attempt_ended(
                    decision.job,
                    AttemptEnd.FAILED_TO_START,
                    now_ms,
                    culprits=culprits,
                    requeue=True,
                )
        return None

    # A job that crashed each worker that started it was requeued for ever.
    def test_job_that_loses_workers_after_each_start_ends(self):
        for run_ms, ends in ((1_000, True), (60_000, False)):
            domain_scheduler = scheduler_with_four_workers()
            domain_scheduler.submit(fixtures.spec("bad", "paying", 1, 8), 0)
            results = []
            for number in range(8):
                now_ms = number * (run_ms + 30_000)
                (decision,) = domain_scheduler.decide(now_ms)
                workers = [f"kr-a-w{number % 4}"]
                result = domain_scheduler.attempt_ended(
                    decision.job,
                    AttemptEnd.WORKER_LOST,
                    now_ms + run_ms,
                    culprits=tuple(workers),
                    requeue=True,
                )
                results.append(result and result.code)
                if result is not None:
                    break
            expected = [codes.ResultCode.FAILED_EVERYWHERE] if ends else []
            self.assertEqual(expected, [each for each in results if each])

    def test_job_that_fails_on_distinct_workers_ends(self):
        domain_scheduler = scheduler_with_four_workers()
        domain_scheduler.submit(fixtures.spec("bad", "paying", 1, 8), 0)
        results = [
            self.fail_placement(domain_scheduler, "kr-a/bad", now)
            for now in range(3)
        ]
        self.assertEqual(results[:2], [None, None])
        self.assertEqual(results[2].code, codes.ResultCode.FAILED_EVERYWHERE)
        self.assertEqual(domain_scheduler.quarantined(), ())
        self.assertEqual(domain_scheduler.queued(), ())

    def test_worker_that_failed_gang_is_retried_only_after_delay(self):
        domain_scheduler = scheduler_with_four_workers()
        domain_scheduler.submit(
            fixtures.spec("g", "extra", 4, 8, "failure_domain"), 0
        )
        self.fail_placement(
            domain_scheduler, "kr-a/g", 0, fixtures.worker(0).name
        )
        self.assertEqual(domain_scheduler.decide(1_999), [])
        self.assertEqual(len(domain_scheduler.decide(2_000)), 1)

    def test_worker_that_fails_distinct_jobs_is_quarantined_and_probed(self):
        domain_scheduler = scheduler_with_four_workers()
        bad = fixtures.worker(0).name
        for number in range(8):
            account = ("paying", "extra")[number % 2]
            domain_scheduler.submit(
                fixtures.spec(f"j{number}", account, 1, 8), 0
            )
        for now_ms in range(8):
            for decision in domain_scheduler.decide(now_ms):
                (group,) = decision.placement.groups
                good = group.worker != bad
                domain_scheduler.attempt_ended(
                    decision.job,
                    AttemptEnd.DONE if good else AttemptEnd.FAILED_TO_START,
                    now_ms,
                    culprits=() if good else (bad,),
                    requeue=not good,
                )
        self.assertEqual(domain_scheduler.quarantined(), (bad,))
        self.assertEqual(domain_scheduler.free_accelerators(), 24)
        domain_scheduler.submit(
            fixtures.spec("wide", "extra", 4, 8, "failure_domain"), 9
        )
        self.assertEqual(domain_scheduler.decide(9), [])
        (probe,) = domain_scheduler.decide(120_000)
        domain_scheduler.attempt_ended(probe.job, AttemptEnd.DONE, 120_001)
        self.assertEqual(domain_scheduler.quarantined(), ())


if __name__ == "__main__":
    unittest.main()
