"""Drives agents against models of the platform on a virtual clock.

Every agent gets its own monotonic clock, which starts anywhere and never goes
back, and a wall clock, which may jump. All randomness comes from one seed.
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
    """A site of agents and models on one virtual clock.

    Attributes:
        clock: The virtual clock.
        network: The network.
        services: The log, the list and the targets.
        processes: The system's processes by VM.
        timeline: All events with the true time in ms, in order of time.
        crashes: Time, VM and last lines of every exception of an agent.
        watchers: Called with the process and each event or effect before it
            is carried out.
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
        """Initializes a site in which no process runs yet.

        Args:
            site: The site.
            make_agent: Makes the agent of a VM from its list entry and the
                wall-clock time of its start in ms.
            seed: The seed of all randomness.
            retention_ms: How long the log keeps records.
            list_lag_ms: How far the platform's list lags.
            count_traffic: Whether to count messages and bytes.
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

    # Control of processes.

    def start_all(self) -> None:
        """Starts every process within a few hundred milliseconds."""
        for vm in self.processes:
            self.clock.after_ms(self.rng.randrange(300), self.start, vm)

    def start(self, vm: ids.VmId) -> None:
        """Starts the process of a VM that does not run.

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
        """Ends a process at once; callers see their connections break.

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
        for tell in list(process.tickets.values()):
            self.clock.after_ms(_REFUSAL_DELAY_MS, tell, None)
        process.tickets.clear()

    def pause(self, vm: ids.VmId) -> None:
        """Stops a process without its notice.

        Args:
            vm: The VM.
        """
        self.processes[vm].paused = True

    def resume(self, vm: ids.VmId) -> None:
        """Lets a paused process go on with what has come in meanwhile.

        Args:
            vm: The VM.
        """
        process = self.processes[vm]
        process.paused = False
        waiting, process.inbox = process.inbox, []
        for event in waiting:
            self._deliver(process, process.incarnation, event)

    def drain(self, vm: ids.VmId) -> None:
        """Asks a process to stop; the list shows the VM as leaving.

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

    # Calls from outside.

    def call(
        self,
        vm: ids.VmId,
        body: peer_messages.CallerCall,
        tell: Callable[[peer_messages.Answer | None], None],
        timeout_ms: int = 6_000,
    ) -> ids.TicketId:
        """Sends a call to a VM as a caller or operator does.

        Args:
            vm: The VM that the balancer picked.
            body: The call.
            tell: Gets the answer, or None without one; called once.
            timeout_ms: How long the caller waits.

        Returns:
            The ticket.
        """
        self._ticket_count += 1
        ticket = ids.TicketId(f"t{self._ticket_count}")
        done: list[object] = []

        def tell_once(answer: peer_messages.Answer | None) -> None:
            if not done:
                done.append(answer)
                tell(answer)

        self.clock.after_ms(timeout_ms, self._time_out_caller, vm, ticket)
        self.clock.after_ms(timeout_ms, tell_once, None)
        delays_us = self.network.delays_us(
            harness_network.CALLERS, vm, repeatable=False
        )
        for delay_us in delays_us:
            self.clock.after_us(
                delay_us, self._receive_call, vm, ticket, body, tell_once
            )
        return ticket

    def run_until_ms(self, until_ms: int) -> None:
        """Lets virtual time pass.

        Args:
            until_ms: When to stop.
        """
        self.clock.run_until_ms(until_ms)

    def running_vms(self) -> tuple[ids.VmId, ...]:
        """Returns the VMs whose process runs, in the order of their names."""
        return tuple(vm for vm, p in sorted(self.processes.items()) if p.agent)

    # Inside.

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
        pair = (change.record, records.encode(change))
        self.services.log.append(records.CONFIG_STREAM, (pair,), 0)

    def _emit(self, event: timeline_events.TimelineEvent) -> None:
        self.timeline.append((self.clock.now_ms, event))

    def _tick(self, process: harness_process.Process, incarnation: int) -> None:
        if process.agent is None or process.incarnation != incarnation:
            return
        tick_waits = process.paused and any(
            isinstance(event, events.Tick) for event in process.inbox
        )
        if not tick_waits:
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
        """Lets the agent handle an event; an exception ends the process."""
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
        tell = process.tickets.pop(effect.ticket, None)
        for arrival in self.arrival_watchers:
            arrival(process.vm.vm, harness_network.CALLERS, effect)
        if tell is None:
            return
        delays_us = self.network.delays_us(
            process.vm.vm, harness_network.CALLERS, repeatable=False
        )
        for delay_us in delays_us:
            self.clock.after_us(delay_us, tell, effect.body)

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
        tell: Callable[[peer_messages.Answer | None], None],
    ) -> None:
        process = self.processes[vm]
        if process.agent is None:
            self.clock.after_ms(_REFUSAL_DELAY_MS, tell, None)
            return
        process.tickets[ticket] = tell
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
        """Sends a call; the answer or a timeout comes back as one event."""
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
        repeatable = not isinstance(effect, effects.CallRunner)
        if self._count_traffic:
            process.traffic.count_call(effect)
        known = target in self.network._locations
        delays_us = (
            self.network.delays_us(process.vm.vm, target, repeatable=repeatable)
            if known
            else ()
        )

        def respond(event: events.Event) -> None:
            if self._count_traffic:
                process.traffic.count_answer(event)
            back_us = self.network.delays_us(
                target, process.vm.vm, repeatable=False
            )
            for delay_us in back_us:
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
        for arrival in self.arrival_watchers:
            arrival(process.vm.vm, target, effect)
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
