"""Runs both example sites with daemon processes on loopback.

For each site it starts six daemons in three failure domains and stand-ins for
the platform and its targets. Trial jobs fill the pool, then gangs of paying
accounts reclaim the capacity that is guaranteed to them, and each VM serves a
short request.
"""

import collections
from collections.abc import Iterable
import itertools
import json
import pathlib
import sys
import time
import typing

from citronmount.bench import loopback_cluster
from citronmount.bench import loopback_steps
from citronmount.config import configuration
from citronmount.config import pool_file
from citronmount.config import sheet
from citronmount.core import states

__all__ = ["main"]

LONG_RUN_MS = 6_000
GANG_RUN_MS = 1_500
ACCELERATORS_PER_WORKER = 8

_EXAMPLES = pathlib.Path(__file__).parent


def main() -> int:
    """Runs the demo.

    Returns:
        The exit status 0.

    Raises:
        StepFailedError: A job or request had an unexpected result.
    """
    start_s = time.monotonic()
    for name in ("hanbit", "perchero"):
        _run_site(name)
    print(f"demo done in {time.monotonic() - start_s:.0f} s")
    return 0


def _run_site(name: str) -> None:
    print(f"== {name}")
    pool = pool_file.load(_EXAMPLES / name / "pool.toml")
    content = sheet.load(_EXAMPLES / name / "sheet.csv")
    with loopback_cluster.open_cluster(pool) as cluster:
        data = (_EXAMPLES / name / "sheet.csv").read_bytes()
        print(f"published version {loopback_steps.publish(cluster, data)}")
        loopback_steps.wait_until_ready(cluster)
        print(f"{len(cluster.vms)} VMs ready")
        fillers = _submit_fillers(cluster, content)
        gangs = _submit_gangs(cluster, content)
        requests = _send_requests(cluster, content)
        statuses = _wait_for_results(cluster, [*gangs, *fillers])
        _print_accounts(content, statuses, requests)
        _check_reclaim(content, statuses)
        loopback_steps.drain_all(cluster)
        print(f"{len(cluster.vms)} daemons drained with status 0")


def _submit_fillers(
    cluster: loopback_cluster.Cluster,
    content: configuration.Configuration,
) -> list[str]:
    """Submits whole-worker jobs that fill the pool.

    A trial account uses its whole allowance; the last paying account uses the
    other workers, beyond its guarantee.
    """
    command = json.dumps({"run_ms": LONG_RUN_MS})
    whole_worker_job = {
        "per_task": {"accelerators": ACCELERATORS_PER_WORKER, "cores": 8},
        "command": command,
        "run_time_s": LONG_RUN_MS / 1_000,
    }
    allowance = content.allowances[0]
    trial_count = allowance.accelerators // ACCELERATORS_PER_WORKER
    borrower = _paying_accounts(content)[-1]
    bodies = [{"account": allowance.account, **whole_worker_job}] * trial_count
    borrowed_count = len(cluster.pool.workers) - trial_count
    bodies += [{"account": borrower, **whole_worker_job}] * borrowed_count
    return _submit_all(cluster, bodies)


def _submit_gangs(
    cluster: loopback_cluster.Cluster,
    content: configuration.Configuration,
) -> list[str]:
    """Submits the gangs that the other paying accounts are guaranteed."""
    time.sleep(1)
    borrower = _paying_accounts(content)[-1]
    bodies = [
        {
            "account": guarantee.account,
            "tasks": guarantee.tasks,
            "per_task": {
                "accelerators": guarantee.per_task.accelerators,
                "cores": guarantee.per_task.cores,
                "memory_gb": guarantee.per_task.memory_gb,
            },
            "adjacency": guarantee.adjacency.value,
            "command": json.dumps({"run_ms": GANG_RUN_MS}),
            "run_time_s": GANG_RUN_MS / 1_000,
        }
        for guarantee in content.guarantees
        if guarantee.account != borrower
        for _ in range(guarantee.copies)
    ]
    return _submit_all(cluster, bodies)


def _submit_all(
    cluster: loopback_cluster.Cluster, bodies: list[dict[str, typing.Any]]
) -> list[str]:
    vms = itertools.cycle(cluster.vms)
    return [
        loopback_steps.submit(vm, body)
        for vm, body in zip(vms, bodies, strict=False)
    ]


def _send_requests(
    cluster: loopback_cluster.Cluster,
    content: configuration.Configuration,
) -> collections.Counter[str]:
    """Sends a short request to each VM; counts the answers by account."""
    answer_counts: collections.Counter[str] = collections.Counter()
    accounts = _paying_accounts(content)
    for number, vm in enumerate(cluster.vms):
        account = accounts[number % len(accounts)]
        body = {
            "account": account,
            "request": f"check-{number}",
            "payload": json.dumps({"service_ms": 20, "number": number}),
        }
        data = json.dumps(body).encode("utf-8")
        answer = loopback_steps.call(vm, "POST", "/v1/requests", data)
        complete = answer.body.get("payload", "").endswith(body["payload"])
        loopback_steps.require(
            complete, f"wrong answer to a request: {answer.body}"
        )
        answer_counts[account] += 1
    return answer_counts


def _wait_for_results(
    cluster: loopback_cluster.Cluster, jobs: Iterable[str]
) -> list[typing.Any]:
    """Waits until every job has ended and returns their statuses."""
    return [loopback_steps.wait_for_result(cluster.vms[0], job) for job in jobs]


def _print_accounts(
    content: configuration.Configuration,
    statuses: list[typing.Any],
    requests: collections.Counter[str],
) -> None:
    print(f"{'account':22}{'class':8}{'jobs done':>10}", end="")
    print(f"{'evictions':>10}{'requests':>9}")
    for account in content.accounts:
        account_statuses = [
            status for status in statuses if status["account"] == account.name
        ]
        done = sum(status["state"] == "done" for status in account_statuses)
        evictions = sum(status["attempts"] - 1 for status in account_statuses)
        print(
            f"{account.name:22}{account.account_class.value:8}"
            f"{f'{done} of {len(account_statuses)}':>10}{evictions:>10}"
            f"{requests[account.name]:>9}"
        )
    not_done = [status for status in statuses if status["state"] != "done"]
    loopback_steps.require(
        not not_done, f"jobs that did not complete: {not_done}"
    )


def _check_reclaim(
    content: configuration.Configuration, statuses: list[typing.Any]
) -> None:
    trial_accounts = {allowance.account for allowance in content.allowances}
    evicted = [
        status["job"]
        for status in statuses
        if status["account"] in trial_accounts and status["attempts"] > 1
    ]
    loopback_steps.require(bool(evicted), "no trial job was evicted")
    print(f"trial jobs that were evicted and completed later: {len(evicted)}")


def _paying_accounts(content: configuration.Configuration) -> list[str]:
    return [
        account.name
        for account in content.accounts
        if account.account_class is states.AccountClass.PAYING
    ]


if __name__ == "__main__":
    try:
        sys.exit(main())
    except loopback_steps.StepFailedError as error:
        sys.exit(f"demo failed: {error}")
