"""The Perchero bench: short requests at 80% load on the runners."""

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
P99_OVER_SINGLE_QUEUE = 1.1
IDEAL = "single_queue"
ALL = "all"


@registry.bench("perchero")
def run(
    seed: int, policies: tuple[str, ...], seconds: float = SECONDS
) -> report.BenchReport:
    """Runs short requests on the routers and on baselines.

    Baselines are a random runner with a queue of its own (fifo), routers
    that do not offer requests to peers, and one ideal queue for each failure
    domain. Entries that end in `slow_runner` have one runner in each failure
    domain that takes five times as long.

    Args:
        seed: Seed of the workload.
        policies: Names of policies; only citron and fifo apply.
        seconds: How long requests arrive.

    Returns:
        The report, with the bars against the ideal queue.
    """
    site = request_workload.perchero_site()
    trace = request_workload.make_requests(
        site, seed, load=LOAD, seconds=seconds
    )
    slow = {runners[0].name: SLOW_FACTOR for runners in site.runners.values()}
    metrics = {
        IDEAL: _metrics(request_replay.replay_single_queue(site, trace), {})
    }
    if "fifo" in policies:
        for name, factors in (("fifo", {}), ("fifo.slow_runner", slow)):
            answers = request_replay.replay_random_runners(site, trace, factors)
            metrics[name] = _metrics(answers, {})
    if "citron" in policies:
        variants = {
            "citron": {},
            "no_offers": {"offers": False},
            "citron.slow_runner": {"slow": slow},
            "no_hedges.slow_runner": {"slow": slow, "hedge_share": 0.0},
        }
        for name, options in variants.items():
            metrics[name] = _routed(site, trace, options)
    return report.BenchReport(
        bench="perchero",
        seed=seed,
        metrics=metrics,
        bars=tuple(_bars(metrics)),
    )


def _routed(
    site: request_workload.RequestSite,
    trace: tuple[request_workload.TracedRequest, ...],
    options: dict[str, object],
) -> report.PolicyMetrics:
    replay = request_replay.RouterReplay(site=site, trace=trace, **options)
    answers = replay.run()
    counts = {
        "sends": replay.sends,
        "hedges": replay.hedges,
        "offers": replay.offers,
        "offers_refused": replay.offers_refused,
        "busy_answers": replay.busy_answers,
    }
    return _metrics(answers, counts)


def _metrics(
    answers: list[request_replay.RequestOutcome], counts: dict[str, int]
) -> report.PolicyMetrics:
    took = collections.defaultdict(list)
    waited = collections.defaultdict(list)
    codes_seen = collections.Counter()
    for answer in answers:
        code = answer.result.code if answer.result else None
        name = code.name.lower() if code else "unanswered"
        codes_seen[f"ended_{name}"] += 1
        if answer.request.arrival_ms < WARM_UP_MS:
            continue
        for kind in (ALL, answer.request.kind):
            took[kind].append(answer.took_ms / 1_000)
            waited[kind].append(answer.waited_ms / 1_000)
    done = codes_seen[f"ended_{codes.ResultCode.DONE.name.lower()}"]
    return report.PolicyMetrics(
        completion_time_s={k: report.percentiles(v) for k, v in took.items()},
        wait_s={k: report.percentiles(v) for k, v in waited.items()},
        work_done_ratio=report.rounded(done / max(1, len(answers))),
        counts={**counts, **codes_seen},
    )


def _bars(metrics: dict[str, report.PolicyMetrics]) -> list[report.Bar]:
    if "citron" not in metrics:
        return []
    ours = metrics["citron"].completion_time_s
    ideal = metrics[IDEAL].completion_time_s
    return [
        report.at_most(
            f"completion_p99_s.{kind}",
            "citron",
            ours[kind].p99,
            ideal[kind].p99 * P99_OVER_SINGLE_QUEUE,
        )
        for kind in sorted(ours)
    ]
