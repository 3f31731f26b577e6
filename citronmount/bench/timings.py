"""Measures how the cost of scheduling decisions grows with size.

Costs are ratios within one run. Times depend on the machine, so they are not
part of the reports that are compared byte by byte.
"""

import gc
import math
import time
import tracemalloc

import msgspec

from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import two_year
from citronmount.bench import workload
from citronmount.core import decisions
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import scheduler
from citronmount.core import states

__all__ = ["CostRow", "TimingReport", "measure"]

POOL_SCALES = (0.5, 1.0, 2.0, 4.0)
TEAM_SCALE = 0.25
GANG_SIZES = (1, 8, 32, 128)
FILL_SHARE = 0.7
PROBE_COUNT = 30
DAY_S = 86_400.0
BYTES_PER_MIB = 1 << 20
_TASK_DEMAND = jobs.Resources(accelerators=1, cores=2, memory_gb=8)


class CostRow(msgspec.Struct, frozen=True, kw_only=True):
    """The cost of one decision at one size.

    Attributes:
        size: Workers in the failure domain, or tasks in the gang.
        cost_ratio: Processor time of a decision relative to the first row.
    """

    size: int
    cost_ratio: float


class TimingReport(msgspec.Struct, frozen=True, kw_only=True):
    """Costs of scheduling at the two-year size.

    Attributes:
        by_pool: Costs of placing a single task, by number of workers, for the
            same number of teams.
        by_gang: Costs of placing a gang, by number of tasks.
        pool_log_ratio: Growth of the cost over growth of the logarithm of the
            pool size; at most 1 if the cost grows at most logarithmically.
        gang_linear_ratio: Growth of the cost over growth of the gang size.
        day_core_share: Processor time of all five schedulers for the jobs of
            one day, including the replay, as a share of one core.
        state_mb: Memory of the scheduler of one filled failure domain.
    """

    by_pool: tuple[CostRow, ...]
    by_gang: tuple[CostRow, ...]
    pool_log_ratio: float
    gang_linear_ratio: float
    day_core_share: float
    state_mb: float


def measure(seed: int) -> TimingReport:
    """Measures the cost of decisions and the memory of a scheduler.

    Args:
        seed: Seed of the workloads.

    Returns:
        The report.
    """
    by_pool = _cost_rows(
        [
            (_worker_count(scale), _median_cost_s(seed, scale, 1))
            for scale in POOL_SCALES
        ]
    )
    by_gang = _cost_rows(
        [(size, _median_cost_s(seed, 1.0, size)) for size in GANG_SIZES]
    )
    log_growth = math.log(by_pool[-1].size) / math.log(by_pool[0].size)
    gang_growth = by_gang[-1].size / by_gang[0].size
    return TimingReport(
        by_pool=by_pool,
        by_gang=by_gang,
        pool_log_ratio=report.rounded(by_pool[-1].cost_ratio / log_growth),
        gang_linear_ratio=report.rounded(by_gang[-1].cost_ratio / gang_growth),
        day_core_share=report.rounded(_day_core_share(seed)),
        state_mb=report.rounded(_state_mb(seed)),
    )


def _cost_rows(costs: list[tuple[int, float]]) -> tuple[CostRow, ...]:
    first_s = costs[0][1]
    return tuple(
        CostRow(size=size, cost_ratio=report.rounded(cost_s / first_s))
        for size, cost_s in costs
    )


def _worker_count(scale: float) -> int:
    return len(_domain_workers(sites.two_year(scale)))


def _domain_workers(site: sites.Site) -> tuple:
    domain = site.domains[0]
    return tuple(
        worker for worker in site.workers if worker.failure_domain == domain
    )


def _fill_scheduler(
    seed: int, scale: float, team_scale: float = TEAM_SCALE
) -> tuple[scheduler.DomainScheduler, sites.Site, int]:
    """Returns a scheduler with `FILL_SHARE` of its accelerators in use.

    Returns:
        The scheduler, its site and the time in ms.
    """
    site = sites.two_year(scale, team_scale)
    domain_scheduler = scheduler.DomainScheduler(failure_domain=site.domains[0])
    domain_scheduler.set_configuration(site.configuration)
    domain_scheduler.set_workers(_domain_workers(site))
    accelerator_count = domain_scheduler.free_accelerators()
    now_ms = 0
    for number, job in enumerate(two_year.make_trace(seed, 96.0, team_scale)):
        if (
            domain_scheduler.free_accelerators()
            < (1 - FILL_SHARE) * accelerator_count
        ):
            break
        spec = msgspec.structs.replace(
            job.spec,
            job=ids.job_id(site.domains[0], f"fill{number}"),
            submitted_ms=now_ms,
        )
        domain_scheduler.submit(spec, now_ms)
        _start_all(domain_scheduler, now_ms)
        now_ms += 100
    return domain_scheduler, site, now_ms


def _start_all(
    domain_scheduler: scheduler.DomainScheduler, now_ms: int
) -> list[ids.JobId]:
    placed = [
        decision.job
        for decision in domain_scheduler.decide(now_ms)
        if isinstance(decision, decisions.PlaceJob)
    ]
    for job in placed:
        domain_scheduler.attempt_started(job, now_ms)
    return placed


def _median_cost_s(seed: int, scale: float, tasks: int) -> float:
    """Returns the median processor time to submit, place and end a gang."""
    domain_scheduler, site, now_ms = _fill_scheduler(seed, scale)
    for job in domain_scheduler.queued():
        domain_scheduler.cancel(job)
    account = next(
        account.name
        for account in site.configuration.accounts
        if account.account_class is states.AccountClass.PAYING
    )
    costs_s = []
    for number in range(PROBE_COUNT):
        spec = jobs.JobSpec(
            job=ids.job_id(site.domains[0], f"probe{number}"),
            account=account,
            tasks=tasks,
            per_task=_TASK_DEMAND,
            submitted_ms=now_ms,
        )
        now_ms += 1_000
        start_s = time.process_time()
        domain_scheduler.submit(spec, now_ms)
        placed = _start_all(domain_scheduler, now_ms)
        for job in placed:
            domain_scheduler.attempt_ended(
                job, decisions.AttemptEnd.DONE, now_ms
            )
        domain_scheduler.cancel(spec.job)
        costs_s.append(time.process_time() - start_s)
    return sorted(costs_s)[len(costs_s) // 2]


def _day_core_share(seed: int) -> float:
    start_s = time.process_time()
    two_year.run(seed, ("citron",))
    return (time.process_time() - start_s) / DAY_S


def _state_mb(seed: int) -> float:
    gc.collect()
    tracemalloc.start()
    domain_scheduler, _, now_ms = _fill_scheduler(seed, 1.0, team_scale=1.0)
    later_ms = now_ms + workload.HOUR_MS
    domain_scheduler.decide(later_ms)
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return allocated_bytes / BYTES_PER_MIB
