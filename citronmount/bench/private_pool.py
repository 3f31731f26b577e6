"""Waits on the shared pool beside those on private pools.

An account meets a sharing anomaly (Zhao et al., HiveD, OSDI 2020) if its jobs
wait longer on the shared pool than they would on a private pool of the shapes
that it is guaranteed.
"""

from citronmount.bench import metrics
from citronmount.bench import replay as replay_lib
from citronmount.bench import report
from citronmount.bench import sites
from citronmount.bench import workload
from citronmount.core import codes
from citronmount.core import ids

__all__ = ["wait_bars"]


def wait_bars(
    site: sites.Site,
    trace: tuple[workload.TracedJob, ...],
    shared: replay_lib.Replay,
    accounts: tuple[str, ...],
) -> list[report.Bar]:
    """Compares the p99 wait of each account with its private pool.

    Args:
        site: The shared site.
        trace: The jobs of all accounts.
        shared: The replay of them on the shared site.
        accounts: The accounts to compare.

    Returns:
        One bar for each account: the p99 wait on its private pool plus the
        longest grace that was given to reclaim room.
    """
    return [
        _bar(site, trace, shared, ids.AccountId(account))
        for account in accounts
    ]


def _bar(
    site: sites.Site,
    trace: tuple[workload.TracedJob, ...],
    shared: replay_lib.Replay,
    account: ids.AccountId,
) -> report.Bar:
    numbers = [
        number
        for number, job in enumerate(trace)
        if job.spec.account == account
    ]
    alone = replay_lib.replay(
        site=sites.private(site, account),
        trace=tuple(trace[number] for number in numbers),
        policy=shared.policy,
        horizon_ms=shared.horizon_ms,
        changes=(),
    )
    private_waits = metrics.waits_of(alone, account)
    shared_waits = metrics.waits_of(shared, account)
    fitting = [
        place
        for place in private_waits
        if alone.jobs[place].code is not codes.ResultCode.NEVER_FITS
    ]
    bound_s = report.percentile(
        sorted(private_waits[place] for place in fitting), 0.99
    )
    measured_s = report.percentile(
        sorted(shared_waits[numbers[place]] for place in fitting), 0.99
    )
    return report.at_most(
        f"wait_p99_s.{account}",
        shared.policy,
        measured_s,
        bound_s + shared.grace_ms / 1_000,
    )
