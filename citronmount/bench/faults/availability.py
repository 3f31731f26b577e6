"""How many short requests succeed while a single VM dies."""

import collections
import random

import msgspec

from citronmount.bench import harness as harness_lib
from citronmount.bench import harness_site
from citronmount.bench.faults import agents
from citronmount.bench.faults import callers as callers_lib
from citronmount.bench.faults import evidence as evidence_lib
from citronmount.bench.faults import matrix
from citronmount.bench.faults import registry
from citronmount.peers import peer_messages

__all__ = ["Availability", "measure"]

_WARM_UP_MS = 9_000
_DEATH_MS = 5_000
_ABSENCE_MS = 8_000
_LEAST_REST_MS = 16_000
_SERVICE_MS = (10, 20, 30)


class Availability(msgspec.Struct, frozen=True, kw_only=True):
    """Answers of requests of one kind, over the death of each VM in turn.

    Attributes:
        idempotent: Whether the requests might be repeated.
        requests: How many there were.
        first: Answers to the first try, by code or ``none``.
        last: Answers after the caller's own retries.
        violations: Promises broken on the way.
    """

    idempotent: bool
    requests: int
    first: dict[str, int]
    last: dict[str, int]
    violations: int


def measure(
    *, requests: int = 4_000, gap_ms: int = 5, seeds: tuple[int, ...] = (1, 2)
) -> tuple[Availability, ...]:
    """Kills each VM of a site in turn under a load of short requests.

    Args:
        requests: Requests of both kinds in each run.
        gap_ms: Time between two requests.
        seeds: Each VM is killed once for every seed.

    Returns:
        The counts for idempotent requests, then for the others.
    """
    first: dict[bool, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    last: dict[bool, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    broken = 0
    vms = [vm.vm for vm in harness_site.make_site().view.vms]
    for number, vm in enumerate(vms):
        for seed in seeds:
            seen = _run(vm, 100 * seed + number, requests, gap_ms)
            broken += len(matrix.check_promises(seen))
            for case in seen.callers.requests.values():
                kind = next(iter(case.specs.values())).idempotent
                first[kind][_name(case.told[0].body)] += 1
                last[kind][_name(case.told[-1].body)] += 1
    return tuple(
        Availability(
            idempotent=kind,
            requests=first[kind].total(),
            first=dict(sorted(first[kind].items())),
            last=dict(sorted(last[kind].items())),
            violations=broken,
        )
        for kind in (True, False)
    )


def _run(
    vm: str, seed: int, requests: int, gap_ms: int
) -> evidence_lib.Evidence:
    harness = harness_lib.Harness(
        site=harness_site.make_site(workers_per_domain=3),
        make_agent=lambda listed, incarnation_ms: agents.make_agent(
            listed, incarnation_ms, registry.DAY_MS
        ),
        seed=seed,
    )
    seen = evidence_lib.Evidence(harness=harness)
    harness.watchers.append(seen.watch)
    harness.arrival_watchers.append(seen.arrive)
    callers = callers_lib.Callers(harness=harness, rng=random.Random(seed))
    harness.start_all()
    harness.run_until_ms(_WARM_UP_MS)
    for index in range(requests):
        harness.clock.after_ms(index * gap_ms, _send, callers, index)
    harness.clock.after_ms(_DEATH_MS, harness.kill, vm)
    harness.clock.after_ms(_DEATH_MS + _ABSENCE_MS, harness.start, vm)
    harness.run_until_ms(_WARM_UP_MS + requests * gap_ms + _LEAST_REST_MS)
    seen.finish(callers, _WARM_UP_MS + _DEATH_MS + _ABSENCE_MS)
    return seen


def _send(callers: callers_lib.Callers, index: int) -> None:
    callers.request(
        harness_site.PAYING,
        idempotent=index % 2 == 0,
        service_ms=_SERVICE_MS[index % len(_SERVICE_MS)],
    )


def _name(body: peer_messages.Answer | None) -> str:
    return "none" if body is None else body.result.code.name.lower()
