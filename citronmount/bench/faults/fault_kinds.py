"""The faults, each brought about when a step is seen and healed later."""

from typing import Any

import msgspec

from citronmount.bench import harness_network
from citronmount.bench import harness_services
from citronmount.bench import harness_site
from citronmount.bench.faults import registry
from citronmount.config import configuration
from citronmount.core import states

__all__: list[str] = []

_SHORT_RETENTION_MS = 16_000
_HOUR_MS = 60 * 60 * 1_000
_RENEWED_PAST_MS = 11_000


@registry.fault("vm-dies")
def _vm_dies(cell: Any, hit: Any) -> None:
    vm = hit.process.vm.vm
    cell.kill_soon(vm, cell.rng.choice([0, 0, 1]))
    cell.heal_after(cell.rng.randint(500, 15_000), cell.harness.start, vm)


@registry.fault("all-vms-of-domain-die")
def _all_die(cell: Any, hit: Any) -> None:
    for vm in cell.vms_in(hit.process.vm.failure_domain):
        cell.harness.kill(vm)
        cell.heal_after(cell.rng.randint(500, 6_000), cell.harness.start, vm)


@registry.fault("vms-replaced-in-turn")
def _replaced_in_turn(cell: Any, hit: Any) -> None:
    for index, vm in enumerate(cell.vms_in(hit.process.vm.failure_domain)):
        cell.after(index * 5_000, cell.harness.kill, vm)
        cell.heal_after(index * 5_000 + 500, cell.harness.start, vm)


@registry.fault("process-paused")
def _paused(cell: Any, hit: Any) -> None:
    vm = hit.process.vm.vm
    cell.harness.pause(vm)
    pause_ms = cell.rng.choice([2_500, _RENEWED_PAST_MS, 14_000])
    cell.heal_after(pause_ms, cell.harness.resume, vm)


@registry.fault("log-down")
def _log_down(cell: Any, hit: Any) -> None:
    cell.harness.services.down.add(harness_services.LOG)
    cell.heal_after(
        cell.rng.randint(3_000, 20_000),
        cell.harness.services.down.discard,
        harness_services.LOG,
    )


@registry.fault("log-slow")
def _log_slow(cell: Any, hit: Any) -> None:
    cell.harness.services.log_delay_ms = cell.rng.choice([300, 900, 2_500])

    def heal() -> None:
        cell.harness.services.log_delay_ms = 1

    cell.heal_after(cell.rng.randint(3_000, 15_000), heal)


@registry.fault("append-answer-lost")
def _answer_lost(cell: Any, hit: Any) -> None:
    cell.harness.services.lose_append_answers = True

    def heal() -> None:
        cell.harness.services.lose_append_answers = False

    cell.heal_after(cell.rng.randint(300, 8_000), heal)


@registry.fault("retention-passed", retention_ms=_SHORT_RETENTION_MS)
def _retention(cell: Any, hit: Any) -> None:
    """Replaces a failure domain's VMs after the first records are gone."""
    domain = hit.process.vm.failure_domain
    vms = cell.vms_in(domain)
    for index, vm in enumerate(vms):
        cell.after(_SHORT_RETENTION_MS + index * 3_000, cell.harness.kill, vm)
        cell.heal_after(
            _SHORT_RETENTION_MS + index * 3_000 + 1_000,
            cell.harness.start,
            vm,
        )


@registry.fault("vm-list-stale")
def _stale_list(cell: Any, hit: Any) -> None:
    normal_ms = cell.harness.services.platform.lag_ms
    cell.harness.services.platform.lag_ms = normal_ms + 15_000

    def heal() -> None:
        cell.harness.services.platform.lag_ms = normal_ms

    cell.heal_after(cell.rng.randint(5_000, 15_000), heal)


@registry.fault("target-dies")
def _target_dies(cell: Any, hit: Any) -> None:
    name = cell.target_near(hit)
    cell.harness.services.crash_target(name, refuses=cell.rng.random() < 0.5)
    cell.heal_after(
        cell.rng.randint(3_000, 15_000),
        cell.harness.services.restore_target,
        name,
    )


@registry.fault("target-fails-starts")
def _fails_starts(cell: Any, hit: Any) -> None:
    model = cell.harness.services.workers[cell.worker_near(hit)]
    model.fail_every_start = True

    def heal() -> None:
        model.fail_every_start = False

    cell.heal_after(cell.rng.randint(3_000, 15_000), heal)


@registry.fault("target-leaving")
def _leaving(cell: Any, hit: Any) -> None:
    name = cell.target_near(hit)
    cell.harness.services.set_leaving(name, True)
    cell.heal_after(
        cell.rng.randint(6_000, 12_000),
        cell.harness.services.set_leaving,
        name,
        False,
    )


def _link_fault(
    cell: Any,
    hit: Any,
    least_ms: int,
    most_ms: int,
    **fields: Any,
) -> None:
    """Makes every link of the process faulty for a while."""
    vm = hit.process.vm.vm
    link = harness_network.LinkFault(
        matches=lambda source, target: (
            vm in (source, target) and target != harness_network.CALLERS
        ),
        **fields,
    )
    cell.harness.network.faults.append(link)
    duration_ms = cell.rng.randint(least_ms, most_ms)
    now_ms = cell.harness.clock.now_ms
    cell.evidence.impaired.append((vm, now_ms, now_ms + duration_ms))
    cell.heal_after(duration_ms, cell.harness.network.faults.remove, link)


@registry.fault("message-lost")
def _lost(cell: Any, hit: Any) -> None:
    certain = cell.rng.random() < 0.5
    if certain:
        _link_fault(cell, hit, 200, 1_500, loss=1.0)
    else:
        _link_fault(cell, hit, 2_000, 8_000, loss=0.3)


@registry.fault("message-late")
def _late(cell: Any, hit: Any) -> None:
    _link_fault(cell, hit, 500, 8_000, delay_ms=(200, 4_000))


@registry.fault("message-doubled")
def _doubled(cell: Any, hit: Any) -> None:
    _link_fault(cell, hit, 500, 8_000, copies=1.0, delay_ms=(0, 300))


@registry.fault("messages-reordered")
def _reordered(cell: Any, hit: Any) -> None:
    _link_fault(cell, hit, 500, 8_000, delay_ms=(0, 120))


@registry.fault("vms-cut-apart")
def _cut_apart(cell: Any, hit: Any) -> None:
    """Cuts the VMs of one failure domain off from each other.

    Both still reach the workers and the platform, so that each may think that
    it is the owner.
    """
    vms = set(cell.vms_in(hit.process.vm.failure_domain))
    one_way = cell.rng.random() < 0.5
    link = harness_network.LinkFault(
        matches=lambda source, target: (
            {source, target} <= vms
            and (not one_way or source == hit.process.vm.vm)
        ),
        loss=1.0,
    )
    cell.harness.network.faults.append(link)
    cell.heal_after(
        cell.rng.randint(4_000, 18_000),
        cell.harness.network.faults.remove,
        link,
    )


def _cut(cell: Any, pairs: set[tuple[str, str]]) -> None:
    cell.harness.network.cuts |= pairs

    def heal() -> None:
        cell.harness.network.cuts -= pairs

    cell.heal_after(cell.rng.randint(4_000, 18_000), heal)


def _others(cell: Any, domain: str) -> list[str]:
    return [d for d in cell.domains if d != domain]


@registry.fault("domain-cut-one-way")
def _cut_one_way(cell: Any, hit: Any) -> None:
    domain = hit.process.vm.failure_domain
    outward = cell.rng.random() < 0.5
    _cut(
        cell,
        {
            (domain, other) if outward else (other, domain)
            for other in _others(cell, domain)
        },
    )


@registry.fault("domain-cut-both-ways")
def _cut_both_ways(cell: Any, hit: Any) -> None:
    domain = hit.process.vm.failure_domain
    others = _others(cell, domain)
    _cut(
        cell,
        {(domain, o) for o in others} | {(o, domain) for o in others},
    )


@registry.fault("domain-cut-from-platform")
def _cut_from_platform(cell: Any, hit: Any) -> None:
    domain = hit.process.vm.failure_domain
    there = harness_network.PLATFORM
    _cut(cell, {(domain, there), (there, domain)})


@registry.fault("regions-cut")
def _regions_cut(cell: Any, hit: Any) -> None:
    """Cuts the last failure domain off from all, the platform included."""
    region = cell.domains[-1]
    others = [*cell.domains[:-1], harness_network.PLATFORM]
    _cut(
        cell,
        {(region, o) for o in others} | {(o, region) for o in others},
    )


@registry.fault("operators-racing")
def _racing(cell: Any, hit: Any) -> None:
    base = cell.callers.version
    for index in range(3):
        allowances = (
            configuration.Allowance(
                account=harness_site.TRIAL, accelerators=60 + index
            ),
        )
        content = msgspec.structs.replace(
            cell.site.configuration, allowances=allowances
        )
        cell.callers.publish(content, base)
    cell.heal_after(100, lambda: None)


@registry.fault("clock-jump")
def _clock_jump(cell: Any, hit: Any) -> None:
    process = hit.process
    process.wall_skew_ms += cell.rng.choice([-_HOUR_MS, -5_000, _HOUR_MS])

    def heal() -> None:
        process.wall_skew_ms = 0

    cell.heal_after(cell.rng.randint(2_000, 10_000), heal)


@registry.fault("configuration-out-and-back")
def _out_and_back(cell: Any, hit: Any) -> None:
    domain = hit.process.vm.failure_domain
    cell.set_domain(domain, states.FailureDomainState.OUT)
    cell.heal_after(
        cell.rng.randint(6_000, 10_000),
        cell.set_domain,
        domain,
        states.FailureDomainState.IN,
    )


@registry.fault("burst-of-small")
def _burst_small(cell: Any, hit: Any) -> None:
    for index in range(40):
        cell.callers.submit(
            f"small-{hit.number}-{index}",
            cell.rng.choice([harness_site.PAYING, harness_site.TRIAL]),
            run_ms=cell.rng.randint(200, 900),
        )
    for _ in range(40):
        cell.callers.request(
            harness_site.PAYING,
            idempotent=cell.rng.random() < 0.5,
            service_ms=cell.rng.randint(5, 60),
        )
    cell.heal_after(2_000, lambda: None)


@registry.fault("burst-of-large")
def _burst_large(cell: Any, hit: Any) -> None:
    for index in range(6):
        cell.callers.submit(
            f"large-{hit.number}-{index}",
            cell.rng.choice([harness_site.PAYING, harness_site.TRIAL]),
            tasks=2,
            accelerators=8,
            run_ms=cell.rng.randint(1_000, 3_000),
        )
    cell.heal_after(8_000, lambda: None)


@registry.fault("cancellation-wave")
def _wave(cell: Any, hit: Any) -> None:
    for index in range(20):
        cell.callers.submit(
            f"wave-{hit.number}-{index}",
            harness_site.TRIAL,
            tasks=2,
            accelerators=4,
            run_ms=4_000,
        )

    def cancel_all() -> None:
        for domain in cell.domains:
            cell.callers.cancel_all(harness_site.TRIAL, domain)

    cell.after(cell.rng.randint(5, 1_500), cancel_all)
    cell.heal_after(3_000, cancel_all)


@registry.fault("misdeclared-sizes")
def _misdeclared(cell: Any, hit: Any) -> None:
    cases = [(1.0, 6_000), (9_000.0, 500), (0.001, 3_000), (1e9, 800)]
    for index, (declared_s, run_ms) in enumerate(cases):
        cell.callers.submit(
            f"wrong-{hit.number}-{index}",
            harness_site.PAYING,
            tasks=2,
            accelerators=4,
            run_ms=run_ms,
            declared_s=declared_s,
        )
    cell.callers.submit(
        f"wrong-{hit.number}-never", harness_site.TRIAL, tasks=500
    )
    cell.heal_after(1_000, lambda: None)
