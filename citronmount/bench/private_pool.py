"""Compares waits on the shared pool with those on private pools.

An account meets a sharing anomaly (Zhao et al., HiveD, OSDI 2020) if its jobs
wait longer on the shared pool than they would on a private pool of the shapes
that it is guaranteed.
"""

import collections

from citronmount.bench import job_replay
from citronmount.bench import metrics
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import codes
from citronmount.core import ids

__all__ = ["wait_bars"]


def wait_bars(
    site: sites.Site,
    trace: tuple[workload.TracedJob, ...],
    shared: job_replay.Replay,
    accounts: tuple[str, ...],
) -> list[report.Bar]:
    """Compares the p99 waits of accounts with those on their private pools.

    Args:
        site: The shared site.
        trace: The jobs of all accounts.
        shared: The replay of the trace on the shared site.
        accounts: The accounts to compare.

    Returns:
        One bar for each account and class of work. The bound is the p99 wait
        on the private pool plus the longest grace period that an evicted job
        got on the shared pool. Jobs that never fit the private pool are left
        out.
    """
    return [
        bar
        for account in accounts
        for bar in _bars(site, trace, shared, ids.AccountId(account))
    ]


def _bars(
    site: sites.Site,
    trace: tuple[workload.TracedJob, ...],
    shared: job_replay.Replay,
    account: ids.AccountId,
) -> list[report.Bar]:
    shared_numbers = [
        number
        for number, job in enumerate(trace)
        if job.spec.account == account
    ]
    private = job_replay.Replay(
        site=sites.private_pool_site(site, account),
        trace=tuple(trace[number] for number in shared_numbers),
        policy=shared.policy,
        horizon_ms=shared.horizon_ms,
    ).run()
    waits = collections.defaultdict(list)
    shared_waits = metrics.account_waits_s(shared, account)
    for index, wait_s in metrics.account_waits_s(private, account).items():
        if private.jobs[index].code is codes.ResultCode.NEVER_FITS:
            continue
        pair = (wait_s, shared_waits[shared_numbers[index]])
        waits[private.jobs[index].job.kind].append(pair)
    return [
        _bar(f"wait_p99_s.{account}.{kind}", pairs, shared)
        for kind, pairs in sorted(waits.items())
    ]


def _bar(
    name: str, pairs: list[tuple[float, float]], shared: job_replay.Replay
) -> report.Bar:
    private_p99_s = report.percentile(
        sorted(private_s for private_s, _ in pairs), 0.99
    )
    shared_p99_s = report.percentile(
        sorted(shared_s for _, shared_s in pairs), 0.99
    )
    return report.at_most(
        name,
        shared.policy,
        shared_p99_s,
        private_p99_s + shared.max_grace_ms / 1_000,
    )
