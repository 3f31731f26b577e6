"""The history of a run, which the checks of the fault matrix read."""

import collections
from typing import Any

import msgspec

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.bench import harness as harness_lib
from citronmount.bench import harness_process
from citronmount.bench.faults import simulated_clients
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
    "ReservedAttempt",
    "RunHistory",
    "WorkAfterNotice",
    "owners_at",
]


_OWNERSHIP_END_KINDS = (
    timeline_events.EventKind.OWNERSHIP_LEFT,
    timeline_events.EventKind.VM_STARTED,
    timeline_events.EventKind.VM_STOPPED,
)


class ReservedAttempt(msgspec.Struct, frozen=True, kw_only=True):
    """A gang attempt as reserved at a worker.

    Attributes:
        spec: The job.
        placement: Placement of the whole gang.
    """

    spec: jobs.JobSpec
    placement: jobs.Placement


class WorkAfterNotice(msgspec.Struct, frozen=True, kw_only=True):
    """New work that a VM sent to a target that it knew to be leaving.

    Attributes:
        vm: The VM.
        target: The target.
        at_ms: Virtual time at which the work was sent.
        warned_ms: Virtual time at which the VM first had notice that the
            target is leaving.
    """

    vm: ids.VmId
    target: str
    at_ms: int
    warned_ms: int


class AcceptedChange(msgspec.Struct, frozen=True, kw_only=True):
    """A configuration change that folding the log accepts.

    Attributes:
        record: The record id of the change.
        content: The whole new configuration.
        appended_ms: Virtual time at which the change was appended.
    """

    record: ids.RecordId
    content: configuration.Configuration
    appended_ms: int


class RunHistory:
    """Records what passes between agents, targets and clients during a run.

    It only listens to the harness and changes no agent.

    Attributes:
        harness: The harness that runs the site.
        clients: The simulated clients, once the run has ended.
        healed_ms: Virtual time at which the last fault ended.
        ended_ms: Virtual time at which the run ended.
        attempts: Every attempt for which a reservation reached a worker.
        senders: The VM that sent a start or a request, by attempt or request
            and by worker or runner.
        link_faults: Faults that affect every link of a VM, as the VM, start and
            end in ms. Cuts between VMs or failure domains are not included.
        work_after_notice: New work sent to targets known to be leaving.
        reply_counts: Number of replies to each ticket.
        relayed_snapshots: Configurations that VMs received from each other.
    """

    def __init__(self, *, harness: harness_lib.Harness) -> None:
        """Initializes an empty history.

        Args:
            harness: The harness to listen to.
        """
        self.harness = harness
        self.clients: simulated_clients.SimulatedClients | None = None
        self.healed_ms = 0
        self.ended_ms = 0
        self.attempts: dict[str, ReservedAttempt] = {}
        self.senders: dict[tuple[str, str], ids.VmId] = {}
        self.link_faults: list[tuple[ids.VmId, int, int]] = []
        self.work_after_notice: list[WorkAfterNotice] = []
        self.reply_counts: collections.Counter = collections.Counter()
        self.relayed_snapshots: list[records.ConfigurationSnapshot] = []
        self._first_notice_ms: dict[tuple[ids.VmId, int, str], int] = {}

    def had_link_fault(self, vm: ids.VmId, from_ms: int, until_ms: int) -> bool:
        """Returns whether a VM had a link fault during a period.

        Args:
            vm: The VM.
            from_ms: Start of the period, in virtual time.
            until_ms: End of the period, in virtual time.
        """
        return any(
            vm == faulty_vm and start_ms <= until_ms and from_ms <= end_ms
            for faulty_vm, start_ms, end_ms in self.link_faults
        )

    def observe_item(self, process: harness_process.Process, item: Any) -> None:
        """Records an event or effect of a process.

        Args:
            process: The process.
            item: The event or effect.
        """
        match item:
            case events.PlatformListed():
                self._record_platform_list(process, item)
            case events.WorkerAnswered():
                self._record_worker_answer(process, item)
            case events.RunnerAnswered(answer=answer):
                leaving = messages.RunnerOutcome.LEAVING
                if answer is not None and answer.outcome is leaving:
                    self._record_notice(process, item.runner)
            case effects.CallWorker():
                self._record_worker_acts(process, item)
            case effects.CallRunner():
                key = (str(item.spec.request), str(item.runner))
                self.senders[key] = process.vm.vm
                self._record_new_work(process, item.runner)
            case events.PeerArrived(
                message=peer_messages.StateAnswer(configuration=snapshot)
            ):
                if snapshot is not None:
                    self.relayed_snapshots.append(snapshot)

    def observe_arrival(self, vm: ids.VmId, target: str, effect: Any) -> None:
        """Records a call that arrives at a target or service, or a reply.

        Replies to clients are recorded when they are sent.

        Args:
            vm: The VM that sent it.
            target: The target, service or client that it is for.
            effect: The effect.
        """
        match effect:
            case effects.Reply():
                self.reply_counts[effect.ticket] += 1
            case effects.CallWorker():
                for act in effect.body.acts:
                    if isinstance(act, messages.Reserve):
                        self.attempts[act.attempt] = ReservedAttempt(
                            spec=act.spec, placement=act.placement
                        )

    def observe_end(
        self, clients: simulated_clients.SimulatedClients, healed_ms: int
    ) -> None:
        """Completes the history at the end of the run.

        Args:
            clients: The simulated clients with their observations.
            healed_ms: Virtual time at which the last fault ended.
        """
        self.clients = clients
        self.healed_ms = healed_ms
        self.ended_ms = self.harness.clock.now_ms

    def accepted_changes(self) -> list[AcceptedChange]:
        """Folds the configuration stream from its first offset.

        Returns:
            The accepted changes in order. The version of a change is its index
            plus one.
        """
        accepted: list[AcceptedChange] = []
        folded_records: set[ids.RecordId] = set()
        entries = self.harness.services.log.history(records.CONFIG_STREAM)
        for appended_ms, entry in entries:
            change = records.decode(entry.data)
            if not isinstance(change, records.ConfigurationChange):
                continue
            if change.record in folded_records:
                continue
            folded_records.add(change.record)
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
        """Returns the configuration version that the log has reached."""
        return ids.Version(len(self.accepted_changes()))

    def _record_platform_list(
        self, process: harness_process.Process, item: events.PlatformListed
    ) -> None:
        if item.view is None:
            return
        for target in (*item.view.workers, *item.view.runners):
            if target.state is states.TargetState.LEAVING:
                self._record_notice(process, target.name)

    def _record_worker_answer(
        self, process: harness_process.Process, item: events.WorkerAnswered
    ) -> None:
        if item.answer is None:
            return
        report = item.answer.report
        refused_as_leaving = any(
            result.outcome is messages.ActOutcome.LEAVING
            for result in item.answer.results
        )
        leaving = states.TargetState.LEAVING
        if refused_as_leaving or (
            report is not None and report.state is leaving
        ):
            self._record_notice(process, item.worker)

    def _record_notice(
        self, process: harness_process.Process, target: str
    ) -> None:
        """Records when a VM first learned that a target is leaving.

        The VM list lags, so a target may have returned already; such a notice
        is ignored.
        """
        if self._is_leaving(target):
            key = (process.vm.vm, process.incarnation, str(target))
            self._first_notice_ms.setdefault(key, self.harness.clock.now_ms)

    def _is_leaving(self, target: str) -> bool:
        services = self.harness.services
        target_model = services.workers.get(target) or services.runners.get(
            target
        )
        return target_model is not None and target_model.leaving

    def _record_worker_acts(
        self, process: harness_process.Process, item: effects.CallWorker
    ) -> None:
        for act in item.body.acts:
            if isinstance(act, messages.Start):
                key = (str(act.attempt), str(item.worker))
                self.senders[key] = process.vm.vm
            elif isinstance(act, messages.Reserve):
                self._record_new_work(process, item.worker)

    def _record_new_work(
        self, process: harness_process.Process, target: str
    ) -> None:
        """Records work sent to a target that the VM knew to be leaving.

        A notice becomes void once work is sent to the target while it is not
        leaving.
        """
        key = (process.vm.vm, process.incarnation, str(target))
        if not self._is_leaving(target):
            self._first_notice_ms.pop(key, None)
            return
        notice_ms = self._first_notice_ms.get(key)
        if notice_ms is not None:
            self.work_after_notice.append(
                WorkAfterNotice(
                    vm=process.vm.vm,
                    target=str(target),
                    at_ms=self.harness.clock.now_ms,
                    warned_ms=notice_ms,
                )
            )


def owners_at(harness: harness_lib.Harness, until_ms: int) -> set[str]:
    """Returns the VMs that own a failure domain at a time.

    A VM is an owner from the end of its rebuild until it gives up ownership,
    exits after a drain or restarts. A killed VM is included until it restarts.

    Args:
        harness: The harness that runs the site.
        until_ms: Virtual time up to which the timeline is read.
    """
    owners: set[str] = set()
    for at_ms, event in harness.timeline:
        if at_ms > until_ms:
            break
        if event.kind is timeline_events.EventKind.REBUILD_DONE:
            owners.add(event.process)
        elif event.kind in _OWNERSHIP_END_KINDS:
            owners.discard(event.process)
    return owners
