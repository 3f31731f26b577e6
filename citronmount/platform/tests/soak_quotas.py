"""Checks during a soak that no account runs more than its quota."""

from collections.abc import Mapping

from citronmount.standins import pool_workers
from citronmount.workflow import spec

__all__ = ["LIMITED_ACCOUNT", "QuotaCheck", "make_tenants", "quota_of"]

LIMITED_ACCOUNT = "t"
OTHER_ACCOUNT = "other"
# Tasks that the limited account may run at once; a gang has at most four.
QUOTA_TASKS = 6
KEYS = {LIMITED_ACCOUNT: "key", OTHER_ACCOUNT: "other-key"}


def quota_of(demand: spec.Demand) -> dict[str, int]:
    """Returns the quota of `QUOTA_TASKS` tasks, as in the configuration."""
    return {
        "cpu": demand.millicores * QUOTA_TASKS,
        "mem_mb": demand.memory_mb * QUOTA_TASKS,
        "gpu": demand.accelerators * QUOTA_TASKS,
    }


def make_tenants(demand: spec.Demand) -> list[dict[str, object]]:
    """Returns an account with a quota and one without."""
    limited = {
        "name": LIMITED_ACCOUNT,
        "api_keys": [KEYS[LIMITED_ACCOUNT]],
        "max_count": quota_of(demand),
    }
    other = {"name": OTHER_ACCOUNT, "api_keys": [KEYS[OTHER_ACCOUNT]]}
    return [limited, other]


class QuotaCheck:
    """Compares what the limited account runs with its quota.

    Attributes:
        account_of: Account of each job.
        violations: One entry for each task that began above the quota.
        max_tasks: Highest number of tasks that the limited account ran.
    """

    def __init__(self, *, pool: pool_workers.PoolWorkers) -> None:
        self.account_of: dict[str, str] = {}
        self.violations: list[str] = []
        self.max_tasks = 0
        self._pool = pool

    def check(self) -> None:
        """Checks the tasks that run now; all of them have the same demand."""
        tasks = self._tasks_of(LIMITED_ACCOUNT, self.account_of)
        if tasks > max(self.max_tasks, QUOTA_TASKS):
            self.violations.append(
                f"QUOTA: {LIMITED_ACCOUNT} runs {tasks} tasks "
                f"with a quota of {QUOTA_TASKS}"
            )
        self.max_tasks = max(self.max_tasks, tasks)

    def _tasks_of(self, account: str, account_of: Mapping[str, str]) -> int:
        return sum(
            account_of.get(name.partition(".")[0]) == account
            for name, _ in self._pool.running()
        )
