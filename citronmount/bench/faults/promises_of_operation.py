"""Checks of configuration, targets, stops and take-overs."""

import collections
from collections.abc import Iterator

import msgspec

from citronmount.bench.faults import evidence as evidence_lib
from citronmount.bench.faults import promises
from citronmount.core import codes
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.telemetry import timeline_events

__all__: list[str] = []


@promises.promise("domain-out")
def _domain_out(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[int, str]]:
    """No start in a failure domain some seconds after it is out in force.

    In force means at any VM of the failure domain; for short requests that a
    VM with faulty links sends, at that VM.
    """
    accepted = evidence.fold()
    out = {
        (version, domain.name)
        for version, change in enumerate(accepted, start=1)
        for domain in change.content.failure_domains
        if domain.state is states.FailureDomainState.OUT
    }
    places = {vm.vm: vm.failure_domain for vm in _vms(evidence)}
    in_force: dict[str, tuple[int, int]] = {}
    since: dict[tuple[str, int], int] = {}
    kinds = (
        timeline_events.EventKind.CONFIGURATION_IN_FORCE,
        timeline_events.EventKind.TASK_STARTED,
        timeline_events.EventKind.RUNNER_STARTED,
    )
    for at_ms, event in promises.of_kind(evidence, *kinds):
        if event.kind is timeline_events.EventKind.CONFIGURATION_IN_FORCE:
            in_force[event.process] = (event.version, at_ms)
            for place in (places[event.process], event.process):
                since.setdefault((place, event.version), at_ms)
            continue
        domain = event.failure_domain
        work = event.attempt or event.request
        sender = evidence.starters[work, event.target]
        known = in_force.get(str(sender), (0, 0))[0]
        impaired = event.request and evidence.was_impaired(
            sender, in_force.get(str(sender), (0, 0))[1], at_ms
        )
        late = [
            (version, since_ms)
            for (place, version), since_ms in since.items()
            if place == (sender if impaired else domain)
            and (version, domain) in out
            and version >= known
            and at_ms - since_ms > promises.NOTICE_MS
        ]
        if late:
            version, since_ms = late[0]
            text = (
                f"{work} started at {event.target}, out in version {version}"
                f" since {since_ms} ms; sender {sender} had version {known}"
            )
            yield at_ms, text


def _vms(evidence: evidence_lib.Evidence) -> list:
    return [p.vm for p in evidence.harness.processes.values()]


@promises.promise("leaving-target")
def _leaving(evidence: evidence_lib.Evidence) -> Iterator[tuple[int, str]]:
    """A leaving target gets no new work some seconds after the notice."""
    for work in evidence.late_work:
        if work.at_ms - work.warned_ms > promises.NOTICE_MS:
            yield (
                work.at_ms,
                (
                    f"{work.vm} sent work to {work.target}, leaving since"
                    f" {work.warned_ms} ms"
                ),
            )


@promises.promise("graceful-stop")
def _graceful(evidence: evidence_lib.Evidence) -> Iterator[tuple[int, str]]:
    """A planned stop cuts no request and ends within a bound."""
    for vm, process in evidence.harness.processes.items():
        for at_ms in process.cut_ms:
            yield at_ms, f"{vm} exited with requests of callers open"
        if process.draining and process.agent and process.drained_ms:
            since_ms = max(process.drained_ms, evidence.healed_ms)
            if evidence.ended_ms - since_ms > promises.DRAIN_MS:
                yield since_ms + promises.DRAIN_MS, f"{vm} did not exit"


@promises.promise("configuration-in-force")
def _configuration(
    evidence: evidence_lib.Evidence,
) -> Iterator[tuple[int, str]]:
    """Accepted versions come into force everywhere and never revert."""
    accepted = evidence.fold()
    yield from _reverts(evidence)
    yield from _false_outcomes(evidence, accepted)
    for snapshot in evidence.relayed:
        version = snapshot.content.version
        if version > len(accepted):
            yield 0, f"version {version} is not in the log"
        elif version and not _same(
            snapshot.content, accepted[version - 1].content
        ):
            yield 0, f"version {version} differs from the log"
    for vm, process in evidence.harness.processes.items():
        if process.agent is None or process.paused:
            continue
        for version, change in enumerate(accepted, start=1):
            since_ms = max(
                change.appended_ms, evidence.healed_ms, process.started_ms
            )
            due_ms = since_ms + promises.IN_FORCE_MS
            if due_ms <= evidence.ended_ms and not _reached(
                evidence, vm, process.started_ms, version, due_ms
            ):
                yield due_ms, f"version {version} is not in force at {vm}"


def _same(one: object, other: object) -> bool:
    return msgspec.structs.replace(one, version=0) == (
        msgspec.structs.replace(other, version=0)
    )


def _reached(
    evidence: evidence_lib.Evidence,
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
        for at_ms, event in promises.of_kind(evidence, kind)
    )


def _reverts(evidence: evidence_lib.Evidence) -> Iterator[tuple[int, str]]:
    highest: dict[str, int] = collections.defaultdict(int)
    kind = timeline_events.EventKind.CONFIGURATION_IN_FORCE
    for at_ms, event in promises.of_kind(evidence, kind):
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
    evidence: evidence_lib.Evidence,
    accepted: list[evidence_lib.AcceptedChange],
) -> Iterator[tuple[int, str]]:
    won = {change.record for change in accepted}
    for case in evidence.callers.publications:
        for told in case.told:
            if not isinstance(told.body, peer_messages.PublishAnswer):
                continue
            code = told.body.result.code
            record = case.change.record
            if code is codes.ResultCode.CONFIGURATION_ACCEPTED:
                if record not in won:
                    yield told.at_ms, f"{record} told accepted, lost"
            elif codes.info(code).proves_not_run and record in won:
                yield told.at_ms, f"{record} told {code.name}, accepted"


@promises.promise("no-crash")
def _no_crash(evidence: evidence_lib.Evidence) -> Iterator[tuple[int, str]]:
    """No event makes an agent raise an exception."""
    for at_ms, vm, lines in evidence.harness.crashes:
        yield at_ms, f"{vm}: {' | '.join(line.strip() for line in lines)}"


@promises.promise("take-over")
def _take_over(evidence: evidence_lib.Evidence) -> Iterator[tuple[int, str]]:
    """Every failure domain with a live VM has a rebuilt owner again."""
    due_ms = evidence.healed_ms + promises.TAKE_OVER_MS
    if evidence.ended_ms < due_ms:
        return
    owners = evidence_lib.owners_at(evidence.harness, due_ms)
    processes = evidence.harness.processes.values()
    domains = {str(p.vm.failure_domain) for p in processes}
    owned = {
        str(p.vm.failure_domain)
        for p in processes
        if p.agent is not None and p.vm.vm in owners
    }
    for domain in sorted(domains - owned):
        yield due_ms, f"{domain} has no rebuilt owner at {due_ms} ms"
