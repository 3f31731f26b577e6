import unittest

from twisted.internet import task

from citronmount.core import ids
from citronmount.platform.tests import soak
from citronmount.platform.tests import soak_quotas
from citronmount.standins import pool_workers


class StaticPool(pool_workers.PoolWorkers):
    """A pool with a given number of running tasks of each job."""

    def __init__(self, counts: dict[str, int]) -> None:
        super().__init__(clock=task.Clock(), plan_task=lambda name, run: None)
        self.counts = counts

    def running(self) -> list[tuple[str, str]]:
        return [
            (f"{job}.0.0.{index}", ids.WorkerId("i-0"))
            for job, count in self.counts.items()
            for index in range(count)
        ]


class QuotaCheckTest(unittest.TestCase):
    """The check must report an account above its quota, and only that."""

    def violations_of(self, counts: dict[str, int]) -> list[str]:
        check = soak_quotas.QuotaCheck(pool=StaticPool(counts))
        check.account_of = {
            "a": soak_quotas.LIMITED_ACCOUNT,
            "b": soak_quotas.LIMITED_ACCOUNT,
            "c": soak_quotas.OTHER_ACCOUNT,
        }
        check.check()
        return check.violations

    def test_use_up_to_the_quota_is_no_violation(self) -> None:
        self.assertEqual([], self.violations_of({"a": 4, "b": 2, "c": 20}))

    def test_use_above_the_quota_is_a_violation(self) -> None:
        self.assertEqual(1, len(self.violations_of({"a": 4, "b": 3})))

    def test_quota_is_that_of_the_tasks_of_the_soak(self) -> None:
        limited, other = soak_quotas.make_tenants(soak.DEMAND)
        self.assertEqual(
            {"cpu": 24_000, "mem_mb": 24_576, "gpu": 12}, limited["max_count"]
        )
        self.assertNotIn("max_count", other)


if __name__ == "__main__":
    unittest.main()
