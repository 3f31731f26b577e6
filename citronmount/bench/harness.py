"""Simulates agents and the platform on a virtual clock.

Every agent has a monotonic clock with a random start and a wall clock, which
may jump. All random numbers derive from one seed, so a run can be repeated.
"""

from collections.abc import Callable
import random
import traceback

import msgspec

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.bench import harness_clock
from citronmount.bench import harness_network
from citronmount.bench import harness_process
from citronmount.bench import harness_services
from citronmount.bench import harness_site
from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.state import records
from citronmount.telemetry import timeline_events

__all__ = ["Harness"]

_TICK_PERIOD_MS = 250
_REFUSAL_DELAY_MS = 2
_RESTART_DELAY_MS = 1_000
_TRACEBACK_LINES = 5


class Harness:
    """Simulation of a site: its processes, network and platform services.

    Attributes:
        rng: Source of start times and delays.
        clock: The virtual clock.
        network: The network between VMs, callers, targets and services.
        services: The log, the list of VMs and targets, and the targets.
        processes: The process of each VM.
        timeline: Timeline events of all processes and targets, each with the
            virtual time of its emission in ms.
        crashes: Time in ms, VM and last traceback lines of every exception
            that an agent raised.
        watchers: Called with a process and an event before the agent handles
            the event, or an effect before the harness executes it.
        arrival_watchers: Called with source, target and effect when a call
            reaches its target or when a reply is sent to a caller.
    """

    def __init__(
        self,
        *,
        site: harness_site.Site,
        make_agent: Callable[
            [messages.ListedVm, int], harness_process.AgentLike
        ],
        seed: int,
        retention_ms: int = 24 * 60 * 60 * 1_000,
        list_lag_ms: int = 1_000,
        count_traffic: bool = False,
    ) -> None:
        """Initializes a site in which no process runs.

        Args:
            site: The VMs, targets and initial configuration.
            make_agent: Creates the agent of a VM from its list entry and the
                Unix time of its start in ms.
            seed: Seed of all random numbers.
            retention_ms: Retention time of log records.
            list_lag_ms: Time until the platform's list shows a change.
            count_traffic: Whether to count messages and bytes of processes.
        """
        self.rng = random.Random(seed)
        self.clock = harness_clock.VirtualClock()
        self.network = harness_network.Network(
            rng=random.Random(self.rng.getrandbits(32))
        )
        self.timeline: list[tuple[int, timeline_events.TimelineEvent]] = []
        self.crashes: list[tuple[int, ids.VmId, list[str]]] = []
        self.watchers: list[
            Callable[[harness_process.Process, object], None]
        ] = []
        self.arrival_watchers: list[Callable[[str, str, object], None]] = []
        self._make_agent = make_agent
        self._count_traffic = count_traffic
        self._ticket_count = 0
        self.services = harness_services.PlatformServices(
            clock=self.clock,
            view=site.view,
            emit=self._emit,
            retention_ms=retention_ms,
            list_lag_ms=list_lag_ms,
        )
        self.processes = {
            vm.vm: harness_process.Process(
                vm=vm, clock_start_ms=self.rng.randrange(10_000, 9_000_000)
            )
            for vm in site.view.vms
        }
        self._set_locations(site)
        self._publish_initial_configuration(site)

    # Process control.

    def start_all(self) -> None:
        """Starts every process at a random time within 300 ms."""
        for vm in self.processes:
            self.clock.after_ms(self.rng.randrange(300), self.start, vm)

    def start(self, vm: ids.VmId) -> None:
        """Starts the process of a VM unless it runs already.

        Args:
            vm: The VM.
        """
        process = self.processes[vm]
        if process.agent is not None:
            return
        process.incarnation += 1
        process.paused = process.draining = False
        process.exited_ms = None
        process.started_ms = self.clock.now_ms
        incarnation_ms = (
            harness_services.EPOCH_MS + self.clock.now_ms + process.wall_skew_ms
        )
        process.agent = self._make_agent(process.vm, incarnation_ms)
        live = msgspec.structs.replace(process.vm, state=states.VmState.LIVE)
        self.services.platform.set_vm(live, self.clock.now_ms)
        self._deliver(process, process.incarnation, events.Started())
        self._tick(process, process.incarnation)

    def kill(self, vm: ids.VmId) -> None:
        """Kills a process; its open calls from callers get no answer.

        Args:
            vm: The VM.
        """
        process = self.processes[vm]
        if process.agent is None:
            return
        process.agent = None
        process.inbox.clear()
        process.calls.clear()
        self.services.platform.remove_vm(vm, self.clock.now_ms)
        for on_answer in list(process.tickets.values()):
            self.clock.after_ms(_REFUSAL_DELAY_MS, on_answer, None)
        process.tickets.clear()

    def pause(self, vm: ids.VmId) -> None:
        """Suspends a process; events for it wait in its inbox.

        Args:
            vm: The VM.
        """
        self.processes[vm].paused = True

    def resume(self, vm: ids.VmId) -> None:
        """Resumes a paused process and delivers the events in its inbox.

        Args:
            vm: The VM.
        """
        process = self.processes[vm]
        process.paused = False
        inbox, process.inbox = process.inbox, []
        for event in inbox:
            self._deliver(process, process.incarnation, event)

    def drain(self, vm: ids.VmId) -> None:
        """Requests a graceful stop and lists the VM as leaving.

        Args:
            vm: The VM.
        """
        process = self.processes[vm]
        if process.agent is None:
            return
        process.draining = True
        process.drained_ms = self.clock.now_ms
        leaving = msgspec.structs.replace(
            process.vm, state=states.VmState.LEAVING
        )
        self.services.platform.set_vm(leaving, self.clock.now_ms)
        self._deliver(process, process.incarnation, events.DrainRequested())

    # Calls from callers and operators.

    def call(
        self,
        vm: ids.VmId,
        body: peer_messages.CallerCall,
        on_answer: Callable[[peer_messages.Answer | None], None],
        timeout_ms: int = 6_000,
    ) -> ids.TicketId:
        """Sends a call to a VM as a caller or operator does.

        Args:
            vm: The VM that the load balancer chose.
            body: The call.
            on_answer: Called once, with the answer or with None if the
                connection broke or the call timed out.
            timeout_ms: Time that the caller waits for an answer.

        Returns:
            The ticket that identifies the call.
        """
        self._ticket_count += 1
        ticket = ids.TicketId(f"t{self._ticket_count}")
        done: list[object] = []

        def answer_once(answer: peer_messages.Answer | None) -> None:
            if not done:
                done.append(answer)
                on_answer(answer)

        self.clock.after_ms(timeout_ms, self._time_out_caller, vm, ticket)
        self.clock.after_ms(timeout_ms, answer_once, None)
        delays_us = self.network.delays_us(
            harness_network.CALLERS, vm, may_duplicate=False
        )
        for delay_us in delays_us:
            self.clock.after_us(
                delay_us, self._receive_call, vm, ticket, body, answer_once
            )
        return ticket

    def run_until_ms(self, until_ms: int) -> None:
        """Advances virtual time and runs everything that is due.

        Args:
            until_ms: Virtual time to stop at.
        """
        self.clock.run_until_ms(until_ms)

    def running_vms(self) -> tuple[ids.VmId, ...]:
        """Returns the VMs whose process runs, sorted by name."""
        return tuple(
            vm
            for vm, process in sorted(self.processes.items())
            if process.agent
        )

    # Events and effects.

    def _set_locations(self, site: harness_site.Site) -> None:
        self.network.set_location(
            harness_services.LOG, harness_network.PLATFORM
        )
        self.network.set_location(
            harness_services.VM_LIST, harness_network.PLATFORM
        )
        self.network.set_location(
            harness_network.CALLERS, harness_network.CALLERS
        )
        for vm in site.view.vms:
            self.network.set_location(vm.vm, vm.failure_domain)
        for target in (*site.view.workers, *site.view.runners):
            self.network.set_location(target.name, target.failure_domain)

    def _publish_initial_configuration(self, site: harness_site.Site) -> None:
        change = records.ConfigurationChange(
            record=ids.RecordId("first"),
            base_version=ids.Version(0),
            author="operator",
            content=site.configuration,
        )
        record = (change.record, records.encode(change))
        self.services.log.append(records.CONFIG_STREAM, (record,), 0)

    def _emit(self, event: timeline_events.TimelineEvent) -> None:
        self.timeline.append((self.clock.now_ms, event))

    def _tick(self, process: harness_process.Process, incarnation: int) -> None:
        if process.agent is None or process.incarnation != incarnation:
            return
        tick_pending = process.paused and any(
            isinstance(event, events.Tick) for event in process.inbox
        )
        if not tick_pending:
            self._deliver(process, incarnation, events.Tick())
        self.clock.after_ms(_TICK_PERIOD_MS, self._tick, process, incarnation)

    def _deliver(
        self,
        process: harness_process.Process,
        incarnation: int,
        event: events.Event,
    ) -> None:
        if process.agent is None or process.incarnation != incarnation:
            return
        if process.paused:
            process.inbox.append(event)
            return
        for watcher in tuple(self.watchers):
            watcher(process, event)
        if process.agent is None:
            return
        if process.paused:
            process.inbox.append(event)
            return
        for effect in self._handle(process, event):
            for watcher in tuple(self.watchers):
                watcher(process, effect)
            if process.agent is None:
                return
            self._execute(process, effect)

    def _handle(
        self, process: harness_process.Process, event: events.Event
    ) -> list[effects.Effect]:
        """Passes an event to the agent; an exception restarts the process."""
        now_ms = self.clock.now_ms
        try:
            return process.agent.handle(
                event,
                now_ms + process.clock_start_ms,
                harness_services.EPOCH_MS + now_ms + process.wall_skew_ms,
            )
        except Exception:
            last_lines = traceback.format_exc().splitlines()[-_TRACEBACK_LINES:]
            self.crashes.append((now_ms, process.vm.vm, last_lines))
            self.kill(process.vm.vm)
            self.clock.after_ms(_RESTART_DELAY_MS, self.start, process.vm.vm)
            return []

    def _execute(
        self, process: harness_process.Process, effect: effects.Effect
    ) -> None:
        match effect:
            case effects.Trace():
                self._emit(effect.event)
            case effects.SendPeer():
                self._send_peer(process, effect)
            case effects.Reply():
                self._reply(process, effect)
            case effects.Exit():
                self._exit(process)
            case _:
                self._send_call(process, effect)

    def _send_peer(
        self, process: harness_process.Process, effect: effects.SendPeer
    ) -> None:
        sender, to = process.vm.vm, effect.to
        if self._count_traffic:
            size = len(peer_messages.encode(effect.message))
            kind = type(effect.message).__name__
            process.traffic.count_message(kind, size)
            if to in self.processes:
                self.processes[to].traffic.count_message(kind, size)
        if to not in self.processes:
            return
        event = events.PeerArrived(sender=sender, message=effect.message)
        for delay_us in self.network.delays_us(sender, to):
            self.clock.after_us(delay_us, self._receive_peer_message, to, event)

    def _receive_peer_message(
        self, to: ids.VmId, event: events.PeerArrived
    ) -> None:
        process = self.processes[to]
        self._deliver(process, process.incarnation, event)

    def _reply(
        self, process: harness_process.Process, effect: effects.Reply
    ) -> None:
        on_answer = process.tickets.pop(effect.ticket, None)
        for watcher in self.arrival_watchers:
            watcher(process.vm.vm, harness_network.CALLERS, effect)
        if on_answer is None:
            return
        delays_us = self.network.delays_us(
            process.vm.vm, harness_network.CALLERS, may_duplicate=False
        )
        for delay_us in delays_us:
            self.clock.after_us(delay_us, on_answer, effect.body)

    def _exit(self, process: harness_process.Process) -> None:
        process.exited_ms = self.clock.now_ms
        if process.tickets:
            process.cut_ms.append(self.clock.now_ms)
        self.kill(process.vm.vm)

    def _receive_call(
        self,
        vm: ids.VmId,
        ticket: ids.TicketId,
        body: peer_messages.CallerCall,
        on_answer: Callable[[peer_messages.Answer | None], None],
    ) -> None:
        process = self.processes[vm]
        if process.agent is None:
            self.clock.after_ms(_REFUSAL_DELAY_MS, on_answer, None)
            return
        process.tickets[ticket] = on_answer
        event = events.CallArrived(ticket=ticket, body=body)
        self._deliver(process, process.incarnation, event)

    def _time_out_caller(self, vm: ids.VmId, ticket: ids.TicketId) -> None:
        process = self.processes[vm]
        if process.tickets.pop(ticket, None) is not None:
            event = events.CallerLeft(ticket=ticket)
            self._deliver(process, process.incarnation, event)

    def _send_call(
        self,
        process: harness_process.Process,
        effect: effects.Effect,
    ) -> None:
        """Sends a call; its answer or timeout is delivered as one event."""
        target = harness_services.call_target(effect)
        process.calls.add(effect.call)
        incarnation = process.incarnation
        self.clock.after_ms(
            effect.timeout_ms,
            self._deliver_answer,
            process,
            incarnation,
            effect,
            None,
        )
        may_duplicate = not isinstance(effect, effects.CallRunner)
        if self._count_traffic:
            process.traffic.count_call(effect)
        known = target in self.network.locations
        delays_us = (
            self.network.delays_us(
                process.vm.vm, target, may_duplicate=may_duplicate
            )
            if known
            else ()
        )

        def respond(event: events.Event) -> None:
            if self._count_traffic:
                process.traffic.count_answer(event)
            answer_delays_us = self.network.delays_us(
                target, process.vm.vm, may_duplicate=False
            )
            for delay_us in answer_delays_us:
                self.clock.after_us(
                    delay_us,
                    self._deliver_answer,
                    process,
                    incarnation,
                    effect,
                    event,
                )

        for delay_us in delays_us:
            self.clock.after_us(
                delay_us, self._serve, process, effect, target, respond
            )

    def _serve(
        self,
        process: harness_process.Process,
        effect: effects.Effect,
        target: str,
        respond: Callable[[events.Event], None],
    ) -> None:
        if not self.services.check_reachable(effect, target, respond):
            return
        for watcher in self.arrival_watchers:
            watcher(process.vm.vm, target, effect)
        self.services.serve(effect, respond)

    def _deliver_answer(
        self,
        process: harness_process.Process,
        incarnation: int,
        effect: effects.Effect,
        event: events.Event | None,
    ) -> None:
        if process.incarnation != incarnation or process.agent is None:
            return
        if effect.call not in process.calls:
            return
        process.calls.remove(effect.call)
        self._deliver(
            process,
            incarnation,
            event or harness_services.no_answer_event(effect),
        )
