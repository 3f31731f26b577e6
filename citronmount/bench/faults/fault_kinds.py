"""The kinds of faults, each injected at a step and healed later."""

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
_LONGER_THAN_LEASE_MS = 11_000


@registry.fault("vm-dies")
def _vm_dies(cell: Any, injection: Any) -> None:
    vm = injection.process.vm.vm
    cell.kill_after(vm, cell.rng.choice([0, 0, 1]))
    cell.schedule_heal(cell.rng.randint(500, 15_000), cell.harness.start, vm)


@registry.fault("all-vms-of-domain-die")
def _all_vms_of_domain_die(cell: Any, injection: Any) -> None:
    for vm in cell.vms_in(injection.process.vm.failure_domain):
        cell.harness.kill(vm)
        cell.schedule_heal(cell.rng.randint(500, 6_000), cell.harness.start, vm)


@registry.fault("vms-replaced-in-turn")
def _vms_replaced_in_turn(cell: Any, injection: Any) -> None:
    for index, vm in enumerate(
        cell.vms_in(injection.process.vm.failure_domain)
    ):
        cell.schedule(index * 5_000, cell.harness.kill, vm)
        cell.schedule_heal(index * 5_000 + 500, cell.harness.start, vm)


@registry.fault("process-paused")
def _process_paused(cell: Any, injection: Any) -> None:
    vm = injection.process.vm.vm
    cell.harness.pause(vm)
    pause_ms = cell.rng.choice([2_500, _LONGER_THAN_LEASE_MS, 14_000])
    cell.schedule_heal(pause_ms, cell.harness.resume, vm)


@registry.fault("log-down")
def _log_down(cell: Any, injection: Any) -> None:
    cell.harness.services.down.add(harness_services.LOG)
    cell.schedule_heal(
        cell.rng.randint(3_000, 20_000),
        cell.harness.services.down.discard,
        harness_services.LOG,
    )


@registry.fault("log-slow")
def _log_slow(cell: Any, injection: Any) -> None:
    cell.harness.services.log_delay_ms = cell.rng.choice([300, 900, 2_500])

    def heal() -> None:
        cell.harness.services.log_delay_ms = 1

    cell.schedule_heal(cell.rng.randint(3_000, 15_000), heal)


@registry.fault("append-answer-lost")
def _append_answer_lost(cell: Any, injection: Any) -> None:
    cell.harness.services.lose_append_answers = True

    def heal() -> None:
        cell.harness.services.lose_append_answers = False

    cell.schedule_heal(cell.rng.randint(300, 8_000), heal)


@registry.fault("retention-passed", retention_ms=_SHORT_RETENTION_MS)
def _retention_passed(cell: Any, injection: Any) -> None:
    """Replaces a domain's VMs after its first log records have expired."""
    domain = injection.process.vm.failure_domain
    vms = cell.vms_in(domain)
    for index, vm in enumerate(vms):
        cell.schedule(
            _SHORT_RETENTION_MS + index * 3_000, cell.harness.kill, vm
        )
        cell.schedule_heal(
            _SHORT_RETENTION_MS + index * 3_000 + 1_000,
            cell.harness.start,
            vm,
        )


@registry.fault("vm-list-stale")
def _vm_list_stale(cell: Any, injection: Any) -> None:
    normal_lag_ms = cell.harness.services.platform.lag_ms
    cell.harness.services.platform.lag_ms = normal_lag_ms + 15_000

    def heal() -> None:
        cell.harness.services.platform.lag_ms = normal_lag_ms

    cell.schedule_heal(cell.rng.randint(5_000, 15_000), heal)


@registry.fault("target-dies")
def _target_dies(cell: Any, injection: Any) -> None:
    target = cell.affected_target(injection)
    cell.harness.services.crash_target(target, refuses=cell.rng.random() < 0.5)
    cell.schedule_heal(
        cell.rng.randint(3_000, 15_000),
        cell.harness.services.restore_target,
        target,
    )


@registry.fault("target-fails-starts")
def _target_fails_starts(cell: Any, injection: Any) -> None:
    worker = cell.harness.services.workers[cell.affected_worker(injection)]
    worker.fail_every_start = True

    def heal() -> None:
        worker.fail_every_start = False

    cell.schedule_heal(cell.rng.randint(3_000, 15_000), heal)


@registry.fault("target-leaving")
def _target_leaving(cell: Any, injection: Any) -> None:
    target = cell.affected_target(injection)
    cell.harness.services.set_leaving(target, True)
    cell.schedule_heal(
        cell.rng.randint(6_000, 12_000),
        cell.harness.services.set_leaving,
        target,
        False,
    )


def _link_fault(
    cell: Any,
    injection: Any,
    min_duration_ms: int,
    max_duration_ms: int,
    **fields: Any,
) -> None:
    """Adds a fault to all links of the process; replies to clients are exempt.

    Args:
        cell: The cell.
        injection: The injection at the step.
        min_duration_ms: Least duration of the fault.
        max_duration_ms: Greatest duration of the fault.
        **fields: Fields of `harness_network.LinkFault`.
    """
    vm = injection.process.vm.vm
    link_fault = harness_network.LinkFault(
        matches=lambda source, target: (
            vm in (source, target) and target != harness_network.CALLERS
        ),
        **fields,
    )
    cell.harness.network.faults.append(link_fault)
    duration_ms = cell.rng.randint(min_duration_ms, max_duration_ms)
    now_ms = cell.harness.clock.now_ms
    cell.history.link_faults.append((vm, now_ms, now_ms + duration_ms))
    cell.schedule_heal(
        duration_ms, cell.harness.network.faults.remove, link_fault
    )


@registry.fault("message-lost")
def _message_lost(cell: Any, injection: Any) -> None:
    all_lost = cell.rng.random() < 0.5
    if all_lost:
        _link_fault(cell, injection, 200, 1_500, loss=1.0)
    else:
        _link_fault(cell, injection, 2_000, 8_000, loss=0.3)


@registry.fault("message-late")
def _message_late(cell: Any, injection: Any) -> None:
    _link_fault(cell, injection, 500, 8_000, delay_ms=(200, 4_000))


@registry.fault("message-doubled")
def _message_doubled(cell: Any, injection: Any) -> None:
    _link_fault(cell, injection, 500, 8_000, copies=1.0, delay_ms=(0, 300))


@registry.fault("messages-reordered")
def _messages_reordered(cell: Any, injection: Any) -> None:
    _link_fault(cell, injection, 500, 8_000, delay_ms=(0, 120))


@registry.fault("vms-cut-apart")
def _vms_cut_apart(cell: Any, injection: Any) -> None:
    """Cuts the links between the VMs of one failure domain.

    At random, either all messages between them are lost or only those from the
    VM of the step. All VMs still reach the workers and the platform, so that
    more than one may act as the owner.
    """
    vms = set(cell.vms_in(injection.process.vm.failure_domain))
    one_way = cell.rng.random() < 0.5
    link_fault = harness_network.LinkFault(
        matches=lambda source, target: (
            {source, target} <= vms
            and (not one_way or source == injection.process.vm.vm)
        ),
        loss=1.0,
    )
    cell.harness.network.faults.append(link_fault)
    cell.schedule_heal(
        cell.rng.randint(4_000, 18_000),
        cell.harness.network.faults.remove,
        link_fault,
    )


def _cut_links(cell: Any, pairs: set[tuple[str, str]]) -> None:
    cell.harness.network.cuts |= pairs

    def heal() -> None:
        cell.harness.network.cuts -= pairs

    cell.schedule_heal(cell.rng.randint(4_000, 18_000), heal)


def _other_domains(cell: Any, domain: str) -> list[str]:
    return [other for other in cell.domains if other != domain]


@registry.fault("domain-cut-one-way")
def _domain_cut_one_way(cell: Any, injection: Any) -> None:
    domain = injection.process.vm.failure_domain
    outward = cell.rng.random() < 0.5
    _cut_links(
        cell,
        {
            (domain, other) if outward else (other, domain)
            for other in _other_domains(cell, domain)
        },
    )


@registry.fault("domain-cut-both-ways")
def _domain_cut_both_ways(cell: Any, injection: Any) -> None:
    domain = injection.process.vm.failure_domain
    others = _other_domains(cell, domain)
    _cut_links(
        cell,
        {(domain, other) for other in others}
        | {(other, domain) for other in others},
    )


@registry.fault("domain-cut-from-platform")
def _domain_cut_from_platform(cell: Any, injection: Any) -> None:
    domain = injection.process.vm.failure_domain
    platform = harness_network.PLATFORM
    _cut_links(cell, {(domain, platform), (platform, domain)})


@registry.fault("regions-cut")
def _regions_cut(cell: Any, injection: Any) -> None:
    """Cuts the last failure domain off from all others and the platform."""
    last_domain = cell.domains[-1]
    others = [*cell.domains[:-1], harness_network.PLATFORM]
    _cut_links(
        cell,
        {(last_domain, other) for other in others}
        | {(other, last_domain) for other in others},
    )


@registry.fault("operators-racing")
def _operators_racing(cell: Any, injection: Any) -> None:
    base_version = cell.clients.version
    for index in range(3):
        allowances = (
            configuration.Allowance(
                account=harness_site.TRIAL, accelerators=60 + index
            ),
        )
        content = msgspec.structs.replace(
            cell.site.configuration, allowances=allowances
        )
        cell.clients.publish(content, base_version)
    cell.schedule_heal(100, lambda: None)


@registry.fault("clock-jump")
def _clock_jump(cell: Any, injection: Any) -> None:
    process = injection.process
    process.wall_skew_ms += cell.rng.choice([-_HOUR_MS, -5_000, _HOUR_MS])

    def heal() -> None:
        process.wall_skew_ms = 0

    cell.schedule_heal(cell.rng.randint(2_000, 10_000), heal)


@registry.fault("configuration-out-and-back")
def _configuration_out_and_back(cell: Any, injection: Any) -> None:
    domain = injection.process.vm.failure_domain
    cell.set_domain_state(domain, states.FailureDomainState.OUT)
    cell.schedule_heal(
        cell.rng.randint(6_000, 10_000),
        cell.set_domain_state,
        domain,
        states.FailureDomainState.IN,
    )


@registry.fault("burst-of-small")
def _burst_of_small(cell: Any, injection: Any) -> None:
    for index in range(40):
        cell.clients.submit(
            f"small-{injection.number}-{index}",
            cell.rng.choice([harness_site.PAYING, harness_site.TRIAL]),
            run_ms=cell.rng.randint(200, 900),
        )
    for _ in range(40):
        cell.clients.send_request(
            harness_site.PAYING,
            idempotent=cell.rng.random() < 0.5,
            service_ms=cell.rng.randint(5, 60),
        )
    cell.schedule_heal(2_000, lambda: None)


@registry.fault("burst-of-large")
def _burst_of_large(cell: Any, injection: Any) -> None:
    for index in range(6):
        cell.clients.submit(
            f"large-{injection.number}-{index}",
            cell.rng.choice([harness_site.PAYING, harness_site.TRIAL]),
            tasks=2,
            accelerators=8,
            run_ms=cell.rng.randint(1_000, 3_000),
        )
    cell.schedule_heal(8_000, lambda: None)


@registry.fault("cancellation-wave")
def _cancellation_wave(cell: Any, injection: Any) -> None:
    for index in range(20):
        cell.clients.submit(
            f"wave-{injection.number}-{index}",
            harness_site.TRIAL,
            tasks=2,
            accelerators=4,
            run_ms=4_000,
        )

    def cancel_all() -> None:
        for domain in cell.domains:
            cell.clients.cancel_all(harness_site.TRIAL, domain)

    cell.schedule(cell.rng.randint(5, 1_500), cancel_all)
    cell.schedule_heal(3_000, cancel_all)


@registry.fault("misdeclared-sizes")
def _misdeclared_sizes(cell: Any, injection: Any) -> None:
    declared_and_actual = [
        (1.0, 6_000),
        (9_000.0, 500),
        (0.001, 3_000),
        (1e9, 800),
    ]
    for index, (declared_s, run_ms) in enumerate(declared_and_actual):
        cell.clients.submit(
            f"wrong-{injection.number}-{index}",
            harness_site.PAYING,
            tasks=2,
            accelerators=4,
            run_ms=run_ms,
            declared_s=declared_s,
        )
    cell.clients.submit(
        f"wrong-{injection.number}-never", harness_site.TRIAL, tasks=500
    )
    cell.schedule_heal(1_000, lambda: None)
