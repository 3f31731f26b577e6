"""Bench of a failure domain out of service for a time under full load."""

from citronmount.bench import job_mix
from citronmount.bench import job_replay
from citronmount.bench import metrics
from citronmount.bench import registry
from citronmount.bench import replay_events
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import ids
from citronmount.core import states

__all__ = ["run"]

OUT_DOMAIN = ids.FailureDomainId("kr-central-b")
JOBS_PER_HOUR = 160.0
POWER_DOWN_DELAY_MS = 10 * workload.MINUTE_MS
MIN_WORK_DONE_RATIO = 0.95


@registry.bench("domain-out")
def run(
    seed: int, policies: tuple[str, ...], hours: float = 12.0
) -> report.BenchReport:
    """Takes one of three failure domains out of service for a third of a run.

    Jobs that still run there when its power is cut are checkpointed.

    Args:
        seed: Seed of the workload.
        policies: The policies to compare.
        hours: Length of the replay.

    Returns:
        The report, with bars for the work done and for starts in the failure
        domain while it is out.
    """
    site = sites.hanbit()
    horizon_ms = round(hours * workload.HOUR_MS)
    out_ms = horizon_ms // 3
    out = sites.set_domain_state(
        site.configuration, OUT_DOMAIN, states.FailureDomainState.OUT
    )
    back = sites.set_domain_state(out, OUT_DOMAIN, states.FailureDomainState.IN)
    changes = (
        (out_ms, replay_events.ApplyConfiguration(configuration=out)),
        (
            out_ms + POWER_DOWN_DELAY_MS,
            replay_events.PowerDownDomain(domain=OUT_DOMAIN),
        ),
        (2 * out_ms, replay_events.ApplyConfiguration(configuration=back)),
    )
    trace = job_mix.merge_by_arrival(
        job_mix.make_steady_jobs(
            "domain out", seed, hours=hours, jobs_per_hour=JOBS_PER_HOUR
        )
    )
    replays = {
        policy: job_replay.Replay(
            site=site,
            trace=trace,
            policy=policy,
            horizon_ms=horizon_ms,
            changes=changes,
        ).run()
        for policy in policies
    }
    bars = []
    if "citron" in replays:
        citron = replays["citron"]
        ratio = metrics.work_done_ratio(citron)
        bars = [
            report.at_least(
                "work_done_ratio", "citron", ratio, MIN_WORK_DONE_RATIO
            ),
            report.at_most("late_starts", "citron", citron.late_starts, 0),
        ]
    return report.BenchReport(
        bench="domain-out",
        seed=seed,
        metrics={p: metrics.policy_metrics(r) for p, r in replays.items()},
        bars=tuple(bars),
    )
