"""Measures the availability of short requests while a single VM is killed."""

import collections
import random

import msgspec

from citronmount.bench import harness as harness_lib
from citronmount.bench import harness_site
from citronmount.bench.faults import agents
from citronmount.bench.faults import matrix
from citronmount.bench.faults import registry
from citronmount.bench.faults import run_history
from citronmount.bench.faults import simulated_clients
from citronmount.peers import peer_messages

__all__ = ["Availability", "measure"]

_WARM_UP_MS = 9_000
_KILL_DELAY_MS = 5_000
_DOWN_TIME_MS = 8_000
_MIN_COMPLETION_MS = 16_000
_SERVICE_TIMES_MS = (10, 20, 30)


class Availability(msgspec.Struct, frozen=True, kw_only=True):
    """Outcomes of idempotent or other requests, over runs that kill one VM.

    Attributes:
        idempotent: Whether the requests are idempotent.
        requests: Number of requests.
        first: Outcomes of the first try, counted by result code, or by
            ``none`` for tries without an answer.
        last: Outcomes of the last try, after the client's own retries.
        violations: Number of property violations, over requests of all kinds.
    """

    idempotent: bool
    requests: int
    first: dict[str, int]
    last: dict[str, int]
    violations: int


def measure(
    *, requests: int = 4_000, gap_ms: int = 5, seeds: tuple[int, ...] = (1, 2)
) -> tuple[Availability, ...]:
    """Kills each VM of a site in a run of its own while requests are sent.

    Args:
        requests: Number of requests of both kinds together in each run.
        gap_ms: Virtual time between two requests.
        seeds: Seeds; there is one run for each VM and seed.

    Returns:
        The outcomes of idempotent requests, then those of the others.
    """
    first_outcomes: dict[bool, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    last_outcomes: dict[bool, collections.Counter] = collections.defaultdict(
        collections.Counter
    )
    violations = 0
    vms = [vm.vm for vm in harness_site.make_site().view.vms]
    for vm_index, vm in enumerate(vms):
        for seed in seeds:
            history = _run_and_kill(vm, 100 * seed + vm_index, requests, gap_ms)
            violations += len(matrix.check_properties(history))
            for request in history.clients.requests.values():
                idempotent = next(iter(request.specs.values())).idempotent
                first_outcomes[idempotent][
                    _code_name(request.told[0].body)
                ] += 1
                last_outcomes[idempotent][
                    _code_name(request.told[-1].body)
                ] += 1
    return tuple(
        Availability(
            idempotent=idempotent,
            requests=first_outcomes[idempotent].total(),
            first=dict(sorted(first_outcomes[idempotent].items())),
            last=dict(sorted(last_outcomes[idempotent].items())),
            violations=violations,
        )
        for idempotent in (True, False)
    )


def _run_and_kill(
    vm: str, seed: int, requests: int, gap_ms: int
) -> run_history.RunHistory:
    harness = harness_lib.Harness(
        site=harness_site.make_site(workers_per_domain=3),
        make_agent=lambda listed, incarnation_ms: agents.make_agent(
            listed, incarnation_ms, registry.DAY_MS
        ),
        seed=seed,
    )
    history = run_history.RunHistory(harness=harness)
    harness.watchers.append(history.observe_item)
    harness.arrival_watchers.append(history.observe_arrival)
    clients = simulated_clients.SimulatedClients(
        harness=harness, rng=random.Random(seed)
    )
    harness.start_all()
    harness.run_until_ms(_WARM_UP_MS)
    for index in range(requests):
        harness.clock.after_ms(index * gap_ms, _send, clients, index)
    harness.clock.after_ms(_KILL_DELAY_MS, harness.kill, vm)
    harness.clock.after_ms(_KILL_DELAY_MS + _DOWN_TIME_MS, harness.start, vm)
    harness.run_until_ms(_WARM_UP_MS + requests * gap_ms + _MIN_COMPLETION_MS)
    history.observe_end(clients, _WARM_UP_MS + _KILL_DELAY_MS + _DOWN_TIME_MS)
    return history


def _send(clients: simulated_clients.SimulatedClients, index: int) -> None:
    clients.send_request(
        harness_site.PAYING,
        idempotent=index % 2 == 0,
        service_ms=_SERVICE_TIMES_MS[index % len(_SERVICE_TIMES_MS)],
    )


def _code_name(body: peer_messages.Answer | None) -> str:
    return "none" if body is None else body.result.code.name.lower()
