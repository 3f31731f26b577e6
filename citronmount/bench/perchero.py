"""Bench of Perchero Abierto: short requests at 80% load on the runners."""

import collections

from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import request_replay
from citronmount.bench import request_workload
from citronmount.core import codes

__all__ = ["run"]

LOAD = 0.8
SECONDS = 12.0
WARM_UP_MS = 2_000
SLOW_FACTOR = 5.0
MAX_P99_RATIO_TO_SINGLE_QUEUE = 1.1
IDEAL_NAME = "single_queue"
ALL_KINDS = "all"


@registry.bench("perchero")
def run(
    seed: int, policies: tuple[str, ...], seconds: float = SECONDS
) -> report.BenchReport:
    """Compares the request routers with baselines on short requests.

    The baselines are random assignment to runners with one queue each (fifo),
    routers that do not offer requests to peers, and one ideal queue for each
    failure domain. In entries whose names end in `slow_runner`, one runner of
    each failure domain takes five times as long.

    Args:
        seed: Seed of the workload.
        policies: Names of policies; only citron and fifo apply.
        seconds: Time over which requests arrive.

    Returns:
        The report, with bars relative to the ideal queue.
    """
    site = request_workload.perchero_site()
    trace = request_workload.make_requests(
        site, seed, load=LOAD, seconds=seconds
    )
    slow = {runners[0].name: SLOW_FACTOR for runners in site.runners.values()}
    metrics = {
        IDEAL_NAME: _metrics(
            request_replay.replay_single_queue(site, trace), {}
        )
    }
    if "fifo" in policies:
        for name, factors in (("fifo", {}), ("fifo.slow_runner", slow)):
            outcomes = request_replay.replay_random_runners(
                site, trace, factors
            )
            metrics[name] = _metrics(outcomes, {})
    if "citron" in policies:
        variants = {
            "citron": {},
            "no_offers": {"offers": False},
            "citron.slow_runner": {"slow": slow},
            "no_hedges.slow_runner": {"slow": slow, "hedge_share": 0.0},
        }
        for name, options in variants.items():
            metrics[name] = _router_metrics(site, trace, options)
    return report.BenchReport(
        bench="perchero",
        seed=seed,
        metrics=metrics,
        bars=tuple(_bars(metrics)),
    )


def _router_metrics(
    site: request_workload.RequestSite,
    trace: tuple[request_workload.TracedRequest, ...],
    options: dict[str, object],
) -> report.PolicyMetrics:
    replay = request_replay.RouterReplay(site=site, trace=trace, **options)
    outcomes = replay.run()
    counts = {
        "sends": replay.sends,
        "hedges": replay.hedges,
        "offers": replay.offers,
        "offers_refused": replay.offers_refused,
        "busy_answers": replay.busy_answers,
    }
    return _metrics(outcomes, counts)


def _metrics(
    outcomes: list[request_replay.RequestOutcome], counts: dict[str, int]
) -> report.PolicyMetrics:
    times_s = collections.defaultdict(list)
    waits_s = collections.defaultdict(list)
    code_counts = collections.Counter()
    for outcome in outcomes:
        code = outcome.result.code if outcome.result else None
        name = code.name.lower() if code else "unanswered"
        code_counts[f"ended_{name}"] += 1
        if outcome.request.arrival_ms < WARM_UP_MS:
            continue
        for kind in (ALL_KINDS, outcome.request.kind):
            times_s[kind].append(outcome.took_ms / 1_000)
            waits_s[kind].append(outcome.waited_ms / 1_000)
    done = code_counts[f"ended_{codes.ResultCode.DONE.name.lower()}"]
    return report.PolicyMetrics(
        completion_time_s={
            k: report.percentiles(v) for k, v in times_s.items()
        },
        wait_s={k: report.percentiles(v) for k, v in waits_s.items()},
        work_done_ratio=report.rounded(done / max(1, len(outcomes))),
        counts={**counts, **code_counts},
    )


def _bars(metrics: dict[str, report.PolicyMetrics]) -> list[report.Bar]:
    if "citron" not in metrics:
        return []
    citron = metrics["citron"].completion_time_s
    ideal = metrics[IDEAL_NAME].completion_time_s
    return [
        report.at_most(
            f"completion_p99_s.{kind}",
            "citron",
            citron[kind].p99,
            ideal[kind].p99 * MAX_P99_RATIO_TO_SINGLE_QUEUE,
        )
        for kind in sorted(citron)
    ]
