"""Runs the main job on both example sheets with real processes on loopback.

For each sheet: six daemons in three failure domains, stand-ins of the platform
and its targets, trial work that fills the pool, paying gangs that take back
what is guaranteed to them, and a short request at each VM.
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
from citronmount.config import configuration as configuration_lib
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
        0 if every job and request ended as it must.
    """
    begin_s = time.monotonic()
    for name in ("hanbit", "perchero"):
        _run_site(name)
    print(f"demo done in {time.monotonic() - begin_s:.0f} s")
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
    content: configuration_lib.Configuration,
) -> list[str]:
    """Fills the pool with trial work and work above a guarantee."""
    command = json.dumps({"run_ms": LONG_RUN_MS})
    whole_worker = {
        "per_task": {"accelerators": ACCELERATORS_PER_WORKER, "cores": 8},
        "command": command,
        "run_time_s": LONG_RUN_MS / 1_000,
    }
    allowance = content.allowances[0]
    trials = allowance.accelerators // ACCELERATORS_PER_WORKER
    eager = _paying_accounts(content)[-1]
    bodies = [{"account": allowance.account, **whole_worker}] * trials
    others = len(cluster.pool.workers) - trials
    bodies += [{"account": eager, **whole_worker}] * others
    return _submit_all(cluster, bodies)


def _submit_gangs(
    cluster: loopback_cluster.Cluster,
    content: configuration_lib.Configuration,
) -> list[str]:
    """Submits what other paying accounts are guaranteed."""
    time.sleep(1)
    eager = _paying_accounts(content)[-1]
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
        if guarantee.account != eager
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
    content: configuration_lib.Configuration,
) -> collections.Counter[str]:
    """Sends one short request at each VM and checks each answer."""
    served: collections.Counter[str] = collections.Counter()
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
        loopback_steps.require(complete, f"request: {answer.body}")
        served[account] += 1
    return served


def _wait_for_results(
    cluster: loopback_cluster.Cluster, jobs: Iterable[str]
) -> list[typing.Any]:
    """Waits for the final result of each job."""
    return [loopback_steps.wait_for_result(cluster.vms[0], job) for job in jobs]


def _print_accounts(
    content: configuration_lib.Configuration,
    statuses: list[typing.Any],
    requests: collections.Counter[str],
) -> None:
    print(f"{'account':22}{'class':8}{'jobs done':>10}", end="")
    print(f"{'evictions':>10}{'requests':>9}")
    for account in content.accounts:
        own = [s for s in statuses if s["account"] == account.name]
        done = sum(s["state"] == "done" for s in own)
        evictions = sum(s["attempts"] - 1 for s in own)
        print(
            f"{account.name:22}{account.account_class.value:8}"
            f"{f'{done} of {len(own)}':>10}{evictions:>10}"
            f"{requests[account.name]:>9}"
        )
    bad = [s for s in statuses if s["state"] != "done"]
    loopback_steps.require(not bad, f"jobs that did not complete: {bad}")


def _check_reclaim(
    content: configuration_lib.Configuration, statuses: list[typing.Any]
) -> None:
    trials = {allowance.account for allowance in content.allowances}
    evicted = [
        s["job"]
        for s in statuses
        if s["account"] in trials and s["attempts"] > 1
    ]
    loopback_steps.require(bool(evicted), "no trial job had to give way")
    print(f"trial jobs that gave way and completed later: {len(evicted)}")


def _paying_accounts(content: configuration_lib.Configuration) -> list[str]:
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
