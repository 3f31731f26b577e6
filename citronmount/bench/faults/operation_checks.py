"""Checks of configuration changes, leaving targets, drains and takeovers."""

import collections
from collections.abc import Iterator

import msgspec

from citronmount.bench.faults import property_checks
from citronmount.bench.faults import run_history
from citronmount.core import codes
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.telemetry import timeline_events

__all__: list[str] = []


@property_checks.property_check("domain-out")
def _no_starts_in_domain_out(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """No work starts in a failure domain that is out of service.

    Starts are allowed for `property_checks.NOTICE_BOUND_MS` after the version
    that takes the domain out comes into force at the first VM of the domain.
    For a short request, the time counts from when the version comes into force
    at the sender, if the sender has had a link fault since its own version came
    into force. Versions that a newer one has superseded at the sender are
    ignored.
    """
    accepted = history.accepted_changes()
    out_of_service = {
        (version, domain.name)
        for version, change in enumerate(accepted, start=1)
        for domain in change.content.failure_domains
        if domain.state is states.FailureDomainState.OUT
    }
    domain_of_vm = {vm.vm: vm.failure_domain for vm in _listed_vms(history)}
    version_and_since_ms: dict[str, tuple[int, int]] = {}
    first_in_force_ms: dict[tuple[str, int], int] = {}
    kinds = (
        timeline_events.EventKind.CONFIGURATION_IN_FORCE,
        timeline_events.EventKind.TASK_STARTED,
        timeline_events.EventKind.RUNNER_STARTED,
    )
    for at_ms, event in property_checks.events_of_kind(history, *kinds):
        if event.kind is timeline_events.EventKind.CONFIGURATION_IN_FORCE:
            version_and_since_ms[event.process] = (event.version, at_ms)
            for location in (domain_of_vm[event.process], event.process):
                first_in_force_ms.setdefault((location, event.version), at_ms)
            continue
        domain = event.failure_domain
        work = event.attempt or event.request
        sender = history.senders[work, event.target]
        known_version = version_and_since_ms.get(str(sender), (0, 0))[0]
        sender_has_link_fault = event.request and history.had_link_fault(
            sender, version_and_since_ms.get(str(sender), (0, 0))[1], at_ms
        )
        violated_versions = [
            (version, since_ms)
            for (location, version), since_ms in first_in_force_ms.items()
            if location == (sender if sender_has_link_fault else domain)
            and (version, domain) in out_of_service
            and version >= known_version
            and at_ms - since_ms > property_checks.NOTICE_BOUND_MS
        ]
        if violated_versions:
            version, since_ms = violated_versions[0]
            detail = (
                f"{work} started at {event.target}, whose domain is out of"
                f" service in version {version} since {since_ms} ms; sender"
                f" {sender} had version {known_version}"
            )
            yield at_ms, detail


def _listed_vms(history: run_history.RunHistory) -> list:
    return [process.vm for process in history.harness.processes.values()]


@property_checks.property_check("leaving-target")
def _no_work_for_leaving_targets(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """A VM sends no new work to a leaving target it has had notice of.

    Work sent within `property_checks.NOTICE_BOUND_MS` of the notice is allowed.
    """
    for work in history.work_after_notice:
        if work.at_ms - work.warned_ms > property_checks.NOTICE_BOUND_MS:
            yield (
                work.at_ms,
                (
                    f"{work.vm} sent work to {work.target}, which it knew to"
                    f" be leaving since {work.warned_ms} ms"
                ),
            )


@property_checks.property_check("graceful-stop")
def _graceful_stops(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """A draining VM answers its open requests and exits within the bound.

    The bound, `property_checks.DRAIN_BOUND_MS`, counts from the drain request
    or from the end of the last fault, whichever is later.
    """
    for vm, process in history.harness.processes.items():
        for at_ms in process.cut_ms:
            yield at_ms, f"{vm} exited with open requests of clients"
        if process.draining and process.agent and process.drained_ms:
            since_ms = max(process.drained_ms, history.healed_ms)
            if history.ended_ms - since_ms > property_checks.DRAIN_BOUND_MS:
                yield (
                    since_ms + property_checks.DRAIN_BOUND_MS,
                    f"{vm} was drained but did not exit",
                )


@property_checks.property_check("configuration-in-force")
def _versions_come_into_force(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """Accepted versions come into force at every VM and never revert.

    Relayed configurations agree with the log, and the outcomes reported to
    operators are true. The time until a version is in force is bounded by
    `property_checks.IN_FORCE_BOUND_MS`, counted from the latest of its append,
    the start of the VM and the end of the last fault.
    """
    accepted = history.accepted_changes()
    yield from _version_reverts(history)
    yield from _false_outcomes(history, accepted)
    for snapshot in history.relayed_snapshots:
        version = snapshot.content.version
        if version > len(accepted):
            yield 0, f"relayed version {version} is not in the log"
        elif version and not _same_content(
            snapshot.content, accepted[version - 1].content
        ):
            yield 0, f"relayed version {version} differs from the log"
    for vm, process in history.harness.processes.items():
        if process.agent is None or process.paused:
            continue
        for version, change in enumerate(accepted, start=1):
            since_ms = max(
                change.appended_ms, history.healed_ms, process.started_ms
            )
            due_ms = since_ms + property_checks.IN_FORCE_BOUND_MS
            if due_ms <= history.ended_ms and not _in_force_in_time(
                history, vm, process.started_ms, version, due_ms
            ):
                yield due_ms, f"version {version} is not yet in force at {vm}"


def _same_content(first: object, second: object) -> bool:
    return msgspec.structs.replace(first, version=0) == (
        msgspec.structs.replace(second, version=0)
    )


def _in_force_in_time(
    history: run_history.RunHistory,
    vm: str,
    started_ms: int,
    version: int,
    due_ms: int,
) -> bool:
    kind = timeline_events.EventKind.CONFIGURATION_IN_FORCE
    return any(
        event.process == vm
        and event.version >= version
        and started_ms <= at_ms <= due_ms
        for at_ms, event in property_checks.events_of_kind(history, kind)
    )


def _version_reverts(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    highest: dict[str, int] = collections.defaultdict(int)
    kind = timeline_events.EventKind.CONFIGURATION_IN_FORCE
    for at_ms, event in property_checks.events_of_kind(history, kind):
        if event.version < highest[event.process]:
            yield (
                at_ms,
                (
                    f"{event.process} went from version"
                    f" {highest[event.process]} to {event.version}"
                ),
            )
        highest[event.process] = max(highest[event.process], event.version)


def _false_outcomes(
    history: run_history.RunHistory,
    accepted: list[run_history.AcceptedChange],
) -> Iterator[tuple[int, str]]:
    accepted_records = {change.record for change in accepted}
    for publication in history.clients.publications:
        for outcome in publication.told:
            if not isinstance(outcome.body, peer_messages.PublishAnswer):
                continue
            code = outcome.body.result.code
            record = publication.change.record
            if code is codes.ResultCode.CONFIGURATION_ACCEPTED:
                if record not in accepted_records:
                    yield (
                        outcome.at_ms,
                        f"change {record} reported accepted, but lost",
                    )
            elif codes.info(code).proves_not_run and record in accepted_records:
                yield (
                    outcome.at_ms,
                    f"change {record} reported {code.name}, but accepted",
                )


@property_checks.property_check("no-crash")
def _no_crash(history: run_history.RunHistory) -> Iterator[tuple[int, str]]:
    """No agent raises an exception while it handles an event."""
    for at_ms, vm, lines in history.harness.crashes:
        yield at_ms, f"{vm}: {' | '.join(line.strip() for line in lines)}"


@property_checks.property_check("take-over")
def _domains_have_owners(
    history: run_history.RunHistory,
) -> Iterator[tuple[int, str]]:
    """Every failure domain has a rebuilt owner again after the last fault.

    The bound is `property_checks.TAKEOVER_BOUND_MS`.
    """
    due_ms = history.healed_ms + property_checks.TAKEOVER_BOUND_MS
    if history.ended_ms < due_ms:
        return
    owners = run_history.owners_at(history.harness, due_ms)
    processes = history.harness.processes.values()
    domains = {str(process.vm.failure_domain) for process in processes}
    owned_domains = {
        str(process.vm.failure_domain)
        for process in processes
        if process.agent is not None and process.vm.vm in owners
    }
    for domain in sorted(domains - owned_domains):
        yield due_ms, f"{domain} has no rebuilt owner at {due_ms} ms"
