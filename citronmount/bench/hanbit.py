"""Bench of the Hanbit consortium: rebuilds, health checks, label bursts."""

import itertools

from citronmount.bench import job_replay
from citronmount.bench import metrics
from citronmount.bench import private_pool
from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["make_label_bursts", "make_trace", "make_trial_jobs", "run"]

DAYS = 1
NIGHT_MS = 22 * workload.HOUR_MS
STORES_OPEN_MS = 32 * workload.HOUR_MS
REBUILDS = {"ara": 6, "bora": 6, "chorok": 4, "dalbit": 4}
BURST_SIZES = {"ara": 300, "bora": 200, "chorok": 100, "dalbit": 100}
BURSTS_PER_DAY = 6
HEALTH_CHECKS_PER_DAY = 400
TRIALS_PER_DAY = 80
MAX_FRAGMENTATION_RATIO_TO_BEST_FIT = 0.5
MAX_SERVED_LAG = 0.1
_WORKER = sites.HANBIT_WORKER
_ONE_ACCELERATOR = jobs.Resources(accelerators=1, cores=8, memory_gb=16)
_TWO_ACCELERATORS = jobs.Resources(accelerators=2, cores=16, memory_gb=32)


def _make_rebuilds(seed: int, days: int) -> list[workload.TracedJob]:
    rng = workload.make_rng("rebuilds", seed)
    return [
        workload.make_job(
            account=member,
            kind="rebuild",
            arrival_ms=day * workload.DAY_MS
            + NIGHT_MS
            + rng.randrange(20 * workload.MINUTE_MS),
            true_run_s=workload.sample_log_normal(rng, 4_500.0, 0.3, 10_800.0),
            tasks=4,
            per_task=_WORKER,
            adjacency=states.Adjacency.RACK,
            declared_s=5_400.0,
            deadline_ms=day * workload.DAY_MS + STORES_OPEN_MS,
            checkpoint_ms=8 * workload.SECOND_MS,
        )
        for day in range(days)
        for member, count in REBUILDS.items()
        for _ in range(count)
    ]


def _make_health_checks(
    seed: int, days: int, scale: float
) -> list[workload.TracedJob]:
    rng = workload.make_rng("health checks", seed)
    return [
        workload.make_job(
            account=member,
            kind="health_check",
            arrival_ms=at_ms,
            true_run_s=workload.sample_log_normal(rng, 8.0, 0.4, 60.0),
            tasks=1,
            per_task=_ONE_ACCELERATOR,
            adjacency=states.Adjacency.WORKER,
            declared_s=10.0,
            urgent=True,
        )
        for member in REBUILDS
        for at_ms in workload.poisson_arrivals_ms(
            rng,
            0,
            days * workload.DAY_MS,
            days * scale * HEALTH_CHECKS_PER_DAY,
        )
    ]


def make_label_bursts(
    seed: int, days: int, scale: float = 1.0
) -> list[workload.TracedJob]:
    """Returns bursts of label renders, three times larger for one member.

    Args:
        seed: Seed of the bench.
        days: Number of days.
        scale: Share of each burst to keep.

    Returns:
        The jobs.
    """
    rng = workload.make_rng("label bursts", seed)
    starts = [
        (member, size, rng.randrange(days * workload.DAY_MS))
        for member, size in BURST_SIZES.items()
        for _ in range(BURSTS_PER_DAY * days)
    ]
    return [
        workload.make_job(
            account=member,
            kind="label_render",
            arrival_ms=start_ms + rng.randrange(workload.MINUTE_MS),
            true_run_s=workload.sample_log_normal(rng, 360.0, 1.0, 7_200.0),
            tasks=1,
            per_task=rng.choice(
                (
                    _ONE_ACCELERATOR,
                    _ONE_ACCELERATOR,
                    _ONE_ACCELERATOR,
                    _TWO_ACCELERATORS,
                )
            ),
            adjacency=states.Adjacency.WORKER,
            declared_s=600.0,
        )
        for member, size, start_ms in starts
        for _ in range(round(size * scale))
    ]


def make_trial_jobs(seed: int, days: int) -> list[workload.TracedJob]:
    """Returns the small but long jobs of a trial account.

    Args:
        seed: Seed of the bench.
        days: Number of days.

    Returns:
        The jobs.
    """
    rng = workload.make_rng("trials", seed)
    return [
        workload.make_job(
            account="newcomer",
            kind="trial",
            arrival_ms=at_ms,
            true_run_s=workload.sample_log_normal(rng, 9_000.0, 0.6, 36_000.0),
            tasks=rng.choice((1, 2, 4)),
            per_task=rng.choice((_ONE_ACCELERATOR, _TWO_ACCELERATORS)),
            adjacency=states.Adjacency.FAILURE_DOMAIN,
            declared_s=10_800.0,
        )
        for at_ms in workload.poisson_arrivals_ms(
            rng, 0, days * workload.DAY_MS, days * TRIALS_PER_DAY
        )
    ]


def make_trace(
    seed: int, days: int = DAYS, scale: float = 1.0
) -> tuple[workload.TracedJob, ...]:
    """Returns the whole workload.

    Args:
        seed: Seed of the bench.
        days: Number of days.
        scale: Share of the health checks and label renders to keep.

    Returns:
        The jobs in the order of arrival.
    """
    parts = (
        _make_rebuilds(seed, days),
        _make_health_checks(seed, days, scale),
        make_label_bursts(seed, days, scale),
        make_trial_jobs(seed, days),
    )
    return tuple(
        sorted(
            itertools.chain.from_iterable(parts),
            key=lambda job: job.arrival_ms,
        )
    )


@registry.bench("hanbit")
def run(
    seed: int,
    policies: tuple[str, ...],
    days: int = DAYS,
    scale: float = 1.0,
) -> report.BenchReport:
    """Runs the Hanbit workload.

    Args:
        seed: Seed of the workload.
        policies: The policies to compare.
        days: Number of days.
        scale: Share of the health checks and label renders to keep.

    Returns:
        The report, with bars for the waits of guaranteed jobs, fragmentation
        and fair shares.
    """
    site = sites.hanbit()
    trace = make_trace(seed, days, scale)
    horizon_ms = (
        (days - 1) * workload.DAY_MS + STORES_OPEN_MS + 4 * workload.HOUR_MS
    )
    replays = {
        policy: job_replay.Replay(
            site=site, trace=trace, policy=policy, horizon_ms=horizon_ms
        ).run()
        for policy in policies
    }
    return report.BenchReport(
        bench="hanbit",
        seed=seed,
        metrics={p: metrics.policy_metrics(r) for p, r in replays.items()},
        bars=tuple(_bars(site, trace, replays)),
    )


def _bars(
    site: sites.Site,
    trace: tuple[workload.TracedJob, ...],
    replays: dict[str, job_replay.Replay],
) -> list[report.Bar]:
    citron = replays.get("citron")
    if citron is None:
        return []
    bars = private_pool.wait_bars(site, trace, citron, tuple(REBUILDS))
    if "best_fit" in replays:
        best_fit = replays["best_fit"]
        pairs = {
            "fragmentation": (citron.fragmentation, best_fit.fragmentation),
            "fragmentation_of_arrivals": (
                citron.arrival_fragmentation,
                best_fit.arrival_fragmentation,
            ),
        }
        bars.extend(
            report.at_most(
                name,
                "citron",
                measured.ratio,
                baseline.ratio * MAX_FRAGMENTATION_RATIO_TO_BEST_FIT,
            )
            for name, (measured, baseline) in pairs.items()
        )
    lag = metrics.served_lag(citron)
    bars.append(report.at_most("served_lag", "citron", lag, MAX_SERVED_LAG))
    return bars
