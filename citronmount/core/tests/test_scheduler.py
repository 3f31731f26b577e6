import unittest

from citronmount.core import codes
from citronmount.core import decisions
from citronmount.core import scheduler
from citronmount.core import states
from citronmount.core.tests import fixtures

END = decisions.AttemptEnd


def make(configuration, workers, policy="citron"):
    made = scheduler.DomainScheduler(
        failure_domain=fixtures.ZONE, policy=policy
    )
    made.set_configuration(configuration)
    made.set_workers(tuple(workers))
    return made


def four_workers(policy="citron", **more):
    configuration = fixtures.configuration(
        guarantees=[fixtures.guarantee("paying", 2, 1, 8)],
        paying=["extra"],
        allowances={"trial": 32},
        **more,
    )
    return make(configuration, map(fixtures.worker, range(4)), policy)


def fill_with_trials(made, jobs=32):
    for number in range(jobs):
        made.submit(fixtures.spec(f"t{number}", "trial"), 0)
    return made.decide(0)


class ReclaimTest(unittest.TestCase):
    def test_paying_job_takes_back_what_trials_hold(self):
        made = four_workers()
        self.assertEqual(len(fill_with_trials(made)), 32)
        made.submit(fixtures.spec("p", "paying", 1, 8), 1)
        evicted = made.decide(1)
        self.assertEqual({type(e) for e in evicted}, {decisions.EvictJob})
        self.assertEqual(len(evicted), 8)
        self.assertEqual(made.decide(2), [])
        for each in evicted:
            made.attempt_ended(each.job, END.EVICTED, 3, requeue=True)
        placed = made.decide(3)
        self.assertEqual([each.job for each in placed], ["kr-a/p"])
        self.assertFalse(made.revocable(placed[0].job))

    def test_cancelled_claim_gives_its_room_back(self):
        made = four_workers()
        fill_with_trials(made)
        made.submit(fixtures.spec("p", "paying", 1, 8), 1)
        evicted = made.decide(1)
        self.assertTrue(made.cancel(fixtures.spec("p", "paying").job))
        for each in evicted:
            made.attempt_ended(each.job, END.EVICTED, 3, requeue=True)
        self.assertEqual(len(made.decide(3)), 8)

    def test_repeatable_trials_are_evicted_first(self):
        made = four_workers()
        for number in range(4):
            spec = fixtures.spec(
                f"t{number}", "trial", 1, 8, idempotent=number == 2
            )
            made.submit(spec, 0)
        made.decide(0)
        made.submit(fixtures.spec("p", "paying", 1, 8), 1)
        self.assertEqual([e.job for e in made.decide(1)], ["kr-a/t2"])

    def test_paying_work_beyond_guarantees_takes_trials_room_in_time(self):
        made = four_workers()
        for number in range(2):
            name = fixtures.worker(number).name
            made.set_worker_state(name, states.TargetState.LEAVING, 0)
            made.submit(fixtures.spec(f"t{number}", "trial", 1, 8), 0)
        made.decide(0)
        made.submit(fixtures.spec("x", "extra", 4, 2), 0)
        self.assertEqual(made.decide(29_999), [])
        (evicted,) = made.decide(30_000)
        for name in "pq":
            made.submit(fixtures.spec(name, "paying", 1, 8), 30_001)
        (reclaimed,) = made.decide(30_001)
        for job in (evicted.job, reclaimed.job):
            made.attempt_ended(job, END.EVICTED, 30_002, requeue=True)
        placed = {each.job for each in made.decide(30_002)}
        self.assertEqual(placed, {"kr-a/p", "kr-a/q"})
        self.assertIn("kr-a/x", made.queued())

    def test_urgent_job_comes_before_others_in_its_guarantee(self):
        made = four_workers()
        for number in range(4):
            account = ("paying", "extra")[number // 2]
            made.submit(fixtures.spec(f"j{number}", account, 1, 8), number)
        made.decide(3)
        made.submit(fixtures.spec("now", "paying", 1, 8, urgent=True), 4)
        (evicted,) = made.decide(4)
        self.assertEqual(evicted.grace_ms, 500)
        self.assertIn(evicted.job, ("kr-a/j1", "kr-a/j2", "kr-a/j3"))
        made.attempt_ended(evicted.job, END.EVICTED, 5, requeue=True)
        self.assertEqual([e.job for e in made.decide(5)], ["kr-a/now"])
        self.assertFalse(made.revocable("kr-a/j0"))

    def test_urgent_job_beyond_guarantees_takes_its_accounts_room(self):
        made = four_workers()
        for number in range(4):
            made.submit(fixtures.spec(f"j{number}", "extra", 1, 8), number)
        made.decide(3)
        made.submit(fixtures.spec("now", "extra", 1, 1, urgent=True), 4)
        (evicted,) = made.decide(4)
        self.assertEqual(evicted.beneficiary, "kr-a/now")
        made.attempt_ended(evicted.job, END.EVICTED, 5, requeue=True)
        self.assertEqual([e.job for e in made.decide(5)], ["kr-a/now"])

    def test_work_above_the_guarantee_moves_into_it(self):
        made = four_workers()
        for number in range(3):
            made.submit(fixtures.spec(f"p{number}", "paying", 1, 8), number)
            made.decide(number)
        self.assertTrue(made.revocable("kr-a/p2"))
        made.attempt_ended("kr-a/p0", END.DONE, 5)
        made.decide(5)
        self.assertFalse(made.revocable("kr-a/p2"))


class ServiceTest(unittest.TestCase):
    def test_nothing_is_placed_out_of_service(self):
        made = four_workers(out=[fixtures.ZONE])
        made.submit(fixtures.spec("p", "paying", 1, 8), 0)
        self.assertEqual(made.decide(0), [])
        self.assertEqual(made.queued(), ("kr-a/p",))

    def test_workers_that_leave_get_nothing(self):
        for state in set(states.TargetState) - {states.TargetState.UP}:
            made = four_workers()
            for number in range(4):
                name = fixtures.worker(number).name
                made.set_worker_state(name, state, 0)
            made.submit(fixtures.spec("p", "paying", 1, 8), 0)
            self.assertEqual(made.decide(0), [], state)


class RefusalTest(unittest.TestCase):
    def test_refusals_name_their_reason(self):
        made = four_workers()
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
            self.assertEqual(made.submit(spec, 2_000).code, code, spec.job)
        self.assertEqual(made.queued(), ())

    def test_deadline_that_passes_in_the_queue_ends_the_job(self):
        made = four_workers(out=[fixtures.ZONE])
        spec = fixtures.spec(
            "d", "paying", deadline_ms=102_000, submitted_ms=2_000
        )
        self.assertIsNone(made.submit(spec, 2_000))
        self.assertEqual(made.decide(101_999), [])
        (ended,) = made.decide(102_000)
        self.assertEqual(ended.result.code, codes.ResultCode.DEADLINE_PASSED)


class FailureTest(unittest.TestCase):
    def fail(self, made, job, now_ms, worker=None):
        """Fails every placement that is decided; returns what came of it."""
        for each in made.decide(now_ms):
            workers = [group.worker for group in each.placement.groups]
            if each.job == job or worker in workers:
                culprits = (worker or workers[0],)
                return made.attempt_ended(
                    each.job,
                    END.FAILED_TO_START,
                    now_ms,
                    culprits=culprits,
                    requeue=True,
                )
        return None

    def test_job_that_fails_on_distinct_workers_ends(self):
        made = four_workers()
        made.submit(fixtures.spec("bad", "paying", 1, 8), 0)
        results = [self.fail(made, "kr-a/bad", now) for now in range(3)]
        self.assertEqual(results[:2], [None, None])
        self.assertEqual(results[2].code, codes.ResultCode.FAILED_EVERYWHERE)
        self.assertEqual(made.quarantined(), ())
        self.assertEqual(made.queued(), ())

    def test_lone_bad_worker_is_tried_again_after_a_while_only(self):
        made = four_workers()
        made.submit(fixtures.spec("g", "extra", 4, 8, "failure_domain"), 0)
        self.fail(made, "kr-a/g", 0, fixtures.worker(0).name)
        self.assertEqual(made.decide(1_999), [])
        self.assertEqual(len(made.decide(2_000)), 1)

    def test_worker_that_fails_distinct_jobs_is_quarantined_and_probed(self):
        made = four_workers()
        bad = fixtures.worker(0).name
        for number in range(8):
            account = ("paying", "extra")[number % 2]
            made.submit(fixtures.spec(f"j{number}", account, 1, 8), 0)
        for now_ms in range(8):
            for each in made.decide(now_ms):
                (group,) = each.placement.groups
                good = group.worker != bad
                made.attempt_ended(
                    each.job,
                    END.DONE if good else END.FAILED_TO_START,
                    now_ms,
                    culprits=() if good else (bad,),
                    requeue=not good,
                )
        self.assertEqual(made.quarantined(), (bad,))
        self.assertEqual(made.free_accelerators(), 24)
        made.submit(fixtures.spec("wide", "extra", 4, 8, "failure_domain"), 9)
        self.assertEqual(made.decide(9), [])
        (probe,) = made.decide(120_000)
        made.attempt_ended(probe.job, END.DONE, 120_001)
        self.assertEqual(made.quarantined(), ())


if __name__ == "__main__":
    unittest.main()
