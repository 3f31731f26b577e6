"""What the checks of the fault matrix read of a run."""

import collections
from typing import Any

import msgspec

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.bench import harness as harness_lib
from citronmount.bench import harness_process as process_lib
from citronmount.bench.faults import callers as callers_lib
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = [
    "AcceptedChange",
    "Evidence",
    "GangAttempt",
    "NewWork",
    "owners_at",
]


_LEAVING_KINDS = (
    timeline_events.EventKind.OWNERSHIP_LEFT,
    timeline_events.EventKind.VM_STARTED,
    timeline_events.EventKind.VM_STOPPED,
)


class GangAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """An attempt as the workers were asked to reserve it.

    Attributes:
        spec: The job.
        placement: Where the whole gang was to run.
    """

    spec: jobs.JobSpec
    placement: jobs.Placement


class NewWork(msgspec.Struct, frozen=True, kw_only=True):
    """New work that a VM sent to a target although it had been warned.

    Attributes:
        vm: The VM.
        target: The target.
        at_ms: True time of the sending.
        warned_ms: When the VM first was told that the target leaves.
    """

    vm: ids.VmId
    target: str
    at_ms: int
    warned_ms: int


class AcceptedChange(msgspec.Struct, frozen=True, kw_only=True):
    """A change that the log's order accepts.

    Attributes:
        record: The id of the change.
        content: The configuration.
        appended_ms: When the log took it.
    """

    record: ids.RecordId
    content: configuration.Configuration
    appended_ms: int


class Evidence:
    """Listens to a harness without touching any agent.

    Attributes:
        harness: The site.
        attempts: Every attempt that was reserved anywhere.
        starters: The VM that sent the start of an attempt to a worker, or a
            request to a runner.
        impaired: Times from and to which the links of a VM were faulty.
        late_work: New work for leaving targets, with its warning.
        replies: How often each ticket was answered.
        relayed: Configurations passed among VMs, by version.
    """

    def __init__(self, *, harness: harness_lib.Harness) -> None:
        """Initializes empty evidence.

        Args:
            harness: The site to listen to.
        """
        self.harness = harness
        self.callers: callers_lib.Callers | None = None
        self.healed_ms = 0
        self.ended_ms = 0
        self.attempts: dict[str, GangAttempt] = {}
        self.starters: dict[tuple[str, str], ids.VmId] = {}
        self.impaired: list[tuple[ids.VmId, int, int]] = []
        self.late_work: list[NewWork] = []
        self.replies: collections.Counter = collections.Counter()
        self.relayed: list[records.ConfigurationSnapshot] = []
        self._warned: dict[tuple[ids.VmId, int, str], int] = {}

    def was_impaired(self, vm: ids.VmId, from_ms: int, until_ms: int) -> bool:
        """Returns whether the links of a VM were faulty at some time.

        Args:
            vm: The VM.
            from_ms: Beginning of the time.
            until_ms: End of the time.
        """
        return any(
            vm == impaired and begin <= until_ms and from_ms <= end
            for impaired, begin, end in self.impaired
        )

    def watch(self, process: process_lib.Process, item: Any) -> None:
        """Takes in an event or effect of a process.

        Args:
            process: The process.
            item: The event or effect.
        """
        match item:
            case events.PlatformListed():
                self._note_list(process, item)
            case events.WorkerAnswered():
                self._note_report(process, item)
            case events.RunnerAnswered(answer=answer):
                leaving = messages.RunnerOutcome.LEAVING
                if answer is not None and answer.outcome is leaving:
                    self._warn(process, item.runner)
            case effects.CallWorker():
                self._note_acts(process, item)
            case effects.CallRunner():
                key = (str(item.spec.request), str(item.runner))
                self.starters[key] = process.vm.vm
                self._note_new_work(process, item.runner)
            case events.PeerArrived(
                message=peer_messages.StateAnswer(configuration=snapshot)
            ):
                if snapshot is not None:
                    self.relayed.append(snapshot)

    def arrive(self, vm: ids.VmId, target: str, effect: Any) -> None:
        """Takes in what arrives at a target, a service or the callers.

        Args:
            vm: The VM that sent it.
            target: Where it arrives.
            effect: What arrives.
        """
        match effect:
            case effects.Reply():
                self.replies[effect.ticket] += 1
            case effects.CallWorker():
                for act in effect.body.acts:
                    if isinstance(act, messages.Reserve):
                        self.attempts[act.attempt] = GangAttempt(
                            spec=act.spec, placement=act.placement
                        )

    def finish(self, callers: callers_lib.Callers, healed_ms: int) -> None:
        """Takes in what the callers saw.

        Args:
            callers: The callers.
            healed_ms: When the last fault was over.
        """
        self.callers = callers
        self.healed_ms = healed_ms
        self.ended_ms = self.harness.clock.now_ms

    def fold(self) -> list[AcceptedChange]:
        """Folds the configuration stream from its first offset.

        Returns:
            The accepted changes; the version is the index plus one.
        """
        accepted: list[AcceptedChange] = []
        seen: set[ids.RecordId] = set()
        history = self.harness.services.log.history(records.CONFIG_STREAM)
        for appended_ms, entry in history:
            change = records.decode(entry.data)
            if not isinstance(change, records.ConfigurationChange):
                continue
            if change.record in seen:
                continue
            seen.add(change.record)
            if change.base_version == len(accepted):
                accepted.append(
                    AcceptedChange(
                        record=change.record,
                        content=change.content,
                        appended_ms=appended_ms,
                    )
                )
        return accepted

    def log_version(self) -> ids.Version:
        """Returns the version that the log stands at."""
        return ids.Version(len(self.fold()))

    def _note_list(
        self, process: process_lib.Process, item: events.PlatformListed
    ) -> None:
        if item.view is None:
            return
        for target in (*item.view.workers, *item.view.runners):
            if target.state is states.TargetState.LEAVING:
                self._warn(process, target.name)

    def _note_report(
        self, process: process_lib.Process, item: events.WorkerAnswered
    ) -> None:
        if item.answer is None:
            return
        report = item.answer.report
        refused = any(
            result.outcome is messages.ActOutcome.LEAVING
            for result in item.answer.results
        )
        leaving = states.TargetState.LEAVING
        if refused or (report is not None and report.state is leaving):
            self._warn(process, item.worker)

    def _warn(self, process: process_lib.Process, target: str) -> None:
        if self._leaves(target):
            key = (process.vm.vm, process.incarnation, str(target))
            self._warned.setdefault(key, self.harness.clock.now_ms)

    def _leaves(self, target: str) -> bool:
        services = self.harness.services
        model = services.workers.get(target) or services.runners.get(target)
        return model is not None and model.leaving

    def _note_acts(
        self, process: process_lib.Process, item: effects.CallWorker
    ) -> None:
        for act in item.body.acts:
            if isinstance(act, messages.Start):
                key = (str(act.attempt), str(item.worker))
                self.starters[key] = process.vm.vm
            elif isinstance(act, messages.Reserve):
                self._note_new_work(process, item.worker)

    def _note_new_work(self, process: process_lib.Process, target: str) -> None:
        key = (process.vm.vm, process.incarnation, str(target))
        if not self._leaves(target):
            self._warned.pop(key, None)
            return
        warned_ms = self._warned.get(key)
        if warned_ms is not None:
            self.late_work.append(
                NewWork(
                    vm=process.vm.vm,
                    target=str(target),
                    at_ms=self.harness.clock.now_ms,
                    warned_ms=warned_ms,
                )
            )


def owners_at(harness: harness_lib.Harness, until_ms: int) -> set[str]:
    """Returns the VMs that have rebuilt a failure domain and not left it.

    Args:
        harness: The site.
        until_ms: True time up to which the time line is read.
    """
    owners: set[str] = set()
    for at_ms, event in harness.timeline:
        if at_ms > until_ms:
            break
        if event.kind is timeline_events.EventKind.REBUILD_DONE:
            owners.add(event.process)
        elif event.kind in _LEAVING_KINDS:
            owners.discard(event.process)
    return owners
