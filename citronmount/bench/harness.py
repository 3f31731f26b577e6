"""Drives agents against models of the platform on a virtual clock.

Every agent gets its own monotonic clock, which starts anywhere and never goes
back, and a wall clock, which may jump. All randomness comes from one seed.
"""

import collections
from collections.abc import Callable
import random
import traceback
from typing import Protocol

import msgspec

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.bench import harness_clock
from citronmount.bench import harness_network
from citronmount.bench import harness_site
from citronmount.core import ids
from citronmount.core import states
from citronmount.peers import messages as peer_messages
from citronmount.services import messages
from citronmount.standins import log
from citronmount.standins import platform
from citronmount.standins import runner
from citronmount.standins import worker
from citronmount.state import records
from citronmount.telemetry import events as timeline_events

__all__ = [
    "AgentLike",
    "EPOCH_MS",
    "Harness",
    "LOG",
    "Process",
    "Traffic",
    "VM_LIST",
]

EPOCH_MS = 1_800_000_000_000
LOG = "log"
VM_LIST = "vm-list"

_TICK_MS = 250
_SERVICE_MS = 1
_REFUSED_MS = 2
_RESTART_MS = 1_000
_HTTP_HEADER_BYTES = 200
_TRACE_LINES = 5


class AgentLike(Protocol):
    """What the harness needs of an agent."""

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        """Handles one event and returns what to do."""


class Traffic(msgspec.Struct, kw_only=True):
    """Messages and bytes of one VM by kind, both directions.

    Attributes:
        messages: Messages by kind.
        bytes: Bytes by kind.
    """

    messages: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )
    bytes: collections.Counter = msgspec.field(
        default_factory=collections.Counter
    )

    def add(self, kind: str, size: int) -> None:
        """Counts one message.

        Args:
            kind: Its kind.
            size: Its bytes.
        """
        self.messages[kind] += 1
        self.bytes[kind] += size


class Process(msgspec.Struct, kw_only=True):
    """One process of the system.

    Attributes:
        vm: Its entry in the VM list.
        agent: Its agent, or None while the process does not run.
        incarnation: Counts its starts.
        paused: Whether the process is stopped by its VM.
        wall_skew_ms: How far its wall clock is off.
        clock_start_ms: What its monotonic clock showed at time zero.
        inbox: Events that wait for the end of a pause.
        calls: Calls that are not answered yet.
        tickets: Open requests of callers, with what to tell the caller.
        draining: Whether it was asked to stop.
        started_ms: When it was started last.
        exited_ms: When it ended itself, if it did.
        drained_ms: When it was asked to stop.
        cut_ms: When it ended itself with requests of callers open.
        traffic: Its messages and bytes.
    """

    vm: messages.ListedVm
    agent: AgentLike | None = None
    incarnation: int = 0
    paused: bool = False
    wall_skew_ms: int = 0
    clock_start_ms: int = 0
    inbox: list[events.Event] = msgspec.field(default_factory=list)
    calls: set[ids.CallId] = msgspec.field(default_factory=set)
    tickets: dict[ids.TicketId, Callable[..., None]] = msgspec.field(
        default_factory=dict
    )
    draining: bool = False
    started_ms: int = 0
    exited_ms: int | None = None
    drained_ms: int | None = None
    cut_ms: list[int] = msgspec.field(default_factory=list)
    traffic: Traffic = msgspec.field(default_factory=Traffic)


class Harness:
    """A site of agents and models on one virtual clock.

    Attributes:
        clock: The virtual clock.
        network: The network.
        log: The log service.
        platform: The list of VMs and targets.
        workers: The workers by id.
        runners: The runners by id.
        processes: The system's processes by VM.
        timeline: All events with the true time in ms, in order of time.
        down: Services and targets that do not answer.
        refusing: Those of them that refuse connections at once.
        log_delay_ms: How long the log takes for each call.
        lose_append_answers: Whether appends take effect without an answer.
        crashes: Time, VM and last lines of every exception of an agent.
        watchers: Called with the process and each event or effect before it
            is carried out.
    """

    def __init__(
        self,
        *,
        site: harness_site.Site,
        make_agent: Callable[[messages.ListedVm, int], AgentLike],
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
        self.log = log.LogModel(retention_ms=retention_ms, keep_history=True)
        self.platform = platform.PlatformModel(
            lag_ms=list_lag_ms, view=site.view
        )
        self.timeline: list[tuple[int, timeline_events.TimelineEvent]] = []
        self.down: set[str] = set()
        self.refusing: set[str] = set()
        self.log_delay_ms = _SERVICE_MS
        self.lose_append_answers = False
        self.crashes: list[tuple[int, ids.VmId, list[str]]] = []
        self.watchers: list[Callable[[Process, object], None]] = []
        self.arrivals: list[Callable[[str, str, object], None]] = []
        self._make_agent = make_agent
        self._count_traffic = count_traffic
        self._tickets = 0
        self._due_ms: dict[str, int] = {}
        saved: dict[ids.JobId, float] = {}
        self.workers = {
            target.name: worker.WorkerModel(
                target=target,
                emit=self._emit,
                epoch_ms=EPOCH_MS,
                saved=saved,
            )
            for target in site.view.workers
        }
        self.runners = {
            target.name: runner.RunnerModel(
                target=target, emit=self._emit, epoch_ms=EPOCH_MS
            )
            for target in site.view.runners
        }
        self.processes = {
            vm.vm: Process(
                vm=vm, clock_start_ms=self.rng.randrange(10_000, 9_000_000)
            )
            for vm in site.view.vms
        }
        self._place_all(site)
        self._publish_first(site)

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
        incarnation_ms = EPOCH_MS + self.clock.now_ms + process.wall_skew_ms
        process.agent = self._make_agent(process.vm, incarnation_ms)
        live = msgspec.structs.replace(process.vm, state=states.VmState.LIVE)
        self.platform.set_vm(live, self.clock.now_ms)
        self._post(process, process.incarnation, events.Started())
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
        self.platform.remove_vm(vm, self.clock.now_ms)
        for tell in list(process.tickets.values()):
            self.clock.after_ms(_REFUSED_MS, tell, None)
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
            self._post(process, process.incarnation, event)

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
        self.platform.set_vm(leaving, self.clock.now_ms)
        self._post(process, process.incarnation, events.DrainRequested())

    def crash_target(self, name: str, *, refuses: bool = False) -> None:
        """Ends a worker or runner with all that runs there.

        Args:
            name: The worker or runner.
            refuses: Whether its machine lives on and refuses connections;
                otherwise calls get no answer at all.
        """
        self.down.add(name)
        if refuses:
            self.refusing.add(name)
        model = self.workers.get(name) or self.runners[name]
        model.crash(self.clock.now_ms)

    def restore_target(self, name: str) -> None:
        """Lets a worker or runner answer again.

        Args:
            name: The worker or runner.
        """
        self.down.discard(name)
        self.refusing.discard(name)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Lets a target start or stop leaving.

        Args:
            name: The worker or runner.
            leaving: Whether it refuses new work.
        """
        state = states.TargetState.LEAVING if leaving else states.TargetState.UP
        if name in self.workers:
            self.workers[name].set_leaving(leaving)
        else:
            self.runners[name].leaving = leaving
        self.platform.set_target_state(name, state, self.clock.now_ms)

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
        self._tickets += 1
        ticket = ids.TicketId(f"t{self._tickets}")
        done: list[object] = []

        def tell_once(answer: peer_messages.Answer | None) -> None:
            if not done:
                done.append(answer)
                tell(answer)

        self.clock.after_ms(timeout_ms, self._caller_gives_up, vm, ticket)
        self.clock.after_ms(timeout_ms, tell_once, None)
        delays_us = self.network.delays_us(
            harness_network.CALLERS, vm, repeatable=False
        )
        for delay_us in delays_us:
            self.clock.after_us(
                delay_us, self._call_arrives, vm, ticket, body, tell_once
            )
        return ticket

    def run_until_ms(self, until_ms: int) -> None:
        """Lets virtual time pass.

        Args:
            until_ms: When to stop.
        """
        self.clock.run_until_ms(until_ms)

    def live(self) -> tuple[ids.VmId, ...]:
        """Returns the VMs whose process runs, in the order of their names."""
        return tuple(vm for vm, p in sorted(self.processes.items()) if p.agent)

    # Inside.

    def _place_all(self, site: harness_site.Site) -> None:
        self.network.place(LOG, harness_network.PLATFORM)
        self.network.place(VM_LIST, harness_network.PLATFORM)
        self.network.place(harness_network.CALLERS, harness_network.CALLERS)
        for vm in site.view.vms:
            self.network.place(vm.vm, vm.failure_domain)
        for target in (*site.view.workers, *site.view.runners):
            self.network.place(target.name, target.failure_domain)

    def _publish_first(self, site: harness_site.Site) -> None:
        change = records.ConfigurationChange(
            record=ids.RecordId("first"),
            base_version=ids.Version(0),
            author="operator",
            content=site.configuration,
        )
        pair = (change.record, records.encode(change))
        self.log.append(records.CONFIG_STREAM, (pair,), 0)

    def _emit(self, event: timeline_events.TimelineEvent) -> None:
        self.timeline.append((self.clock.now_ms, event))

    def _tick(self, process: Process, incarnation: int) -> None:
        if process.agent is None or process.incarnation != incarnation:
            return
        tick_waits = process.paused and any(
            isinstance(event, events.Tick) for event in process.inbox
        )
        if not tick_waits:
            self._post(process, incarnation, events.Tick())
        self.clock.after_ms(_TICK_MS, self._tick, process, incarnation)

    def _post(
        self, process: Process, incarnation: int, event: events.Event
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
            self._carry_out(process, effect)

    def _handle(
        self, process: Process, event: events.Event
    ) -> list[effects.Effect]:
        """Lets the agent handle an event; an exception ends the process."""
        now_ms = self.clock.now_ms
        try:
            return process.agent.handle(
                event,
                now_ms + process.clock_start_ms,
                EPOCH_MS + now_ms + process.wall_skew_ms,
            )
        except Exception:
            last_lines = traceback.format_exc().splitlines()[-_TRACE_LINES:]
            self.crashes.append((now_ms, process.vm.vm, last_lines))
            self.kill(process.vm.vm)
            self.clock.after_ms(_RESTART_MS, self.start, process.vm.vm)
            return []

    def _carry_out(self, process: Process, effect: effects.Effect) -> None:
        match effect:
            case effects.Trace():
                self._emit(effect.event)
            case effects.SendPeer():
                self._send_peer(process, effect)
            case effects.Reply():
                self._reply(process, effect)
            case effects.Exit():
                self._exit(process)
            case effects.AppendLog():
                self._call_out(process, effect, LOG, self._append)
            case effects.ReadLog():
                self._call_out(process, effect, LOG, self._read)
            case effects.ListPlatform():
                self._call_out(process, effect, VM_LIST, self._list)
            case effects.CallWorker():
                self._call_out(process, effect, effect.worker, self._work)
            case effects.CallRunner():
                self._call_out(process, effect, effect.runner, self._run)

    def _send_peer(self, process: Process, effect: effects.SendPeer) -> None:
        sender, to = process.vm.vm, effect.to
        if self._count_traffic:
            size = len(peer_messages.encode(effect.message))
            kind = type(effect.message).__name__
            process.traffic.add(kind, size)
            if to in self.processes:
                self.processes[to].traffic.add(kind, size)
        if to not in self.processes:
            return
        event = events.PeerArrived(sender=sender, message=effect.message)
        for delay_us in self.network.delays_us(sender, to):
            self.clock.after_us(delay_us, self._peer_arrives, to, event)

    def _peer_arrives(self, to: ids.VmId, event: events.PeerArrived) -> None:
        process = self.processes[to]
        self._post(process, process.incarnation, event)

    def _reply(self, process: Process, effect: effects.Reply) -> None:
        tell = process.tickets.pop(effect.ticket, None)
        for arrival in self.arrivals:
            arrival(process.vm.vm, harness_network.CALLERS, effect)
        if tell is None:
            return
        delays_us = self.network.delays_us(
            process.vm.vm, harness_network.CALLERS, repeatable=False
        )
        for delay_us in delays_us:
            self.clock.after_us(delay_us, tell, effect.body)

    def _exit(self, process: Process) -> None:
        process.exited_ms = self.clock.now_ms
        if process.tickets:
            process.cut_ms.append(self.clock.now_ms)
        self.kill(process.vm.vm)

    def _call_arrives(
        self,
        vm: ids.VmId,
        ticket: ids.TicketId,
        body: peer_messages.CallerCall,
        tell: Callable[[peer_messages.Answer | None], None],
    ) -> None:
        process = self.processes[vm]
        if process.agent is None:
            self.clock.after_ms(_REFUSED_MS, tell, None)
            return
        process.tickets[ticket] = tell
        event = events.CallArrived(ticket=ticket, body=body)
        self._post(process, process.incarnation, event)

    def _caller_gives_up(self, vm: ids.VmId, ticket: ids.TicketId) -> None:
        process = self.processes[vm]
        if process.tickets.pop(ticket, None) is not None:
            event = events.CallerLeft(ticket=ticket)
            self._post(process, process.incarnation, event)

    def _call_out(
        self,
        process: Process,
        effect: effects.Effect,
        target: str,
        serve: Callable[..., None],
    ) -> None:
        """Sends a call; the answer or a timeout comes back as one event."""
        process.calls.add(effect.call)
        incarnation = process.incarnation
        self.clock.after_ms(
            effect.timeout_ms, self._answer, process, incarnation, effect, None
        )
        repeatable = not isinstance(effect, effects.CallRunner)
        if self._count_traffic:
            self._count_call(process, effect)
        known = target in self.network._places
        delays_us = (
            self.network.delays_us(process.vm.vm, target, repeatable=repeatable)
            if known
            else ()
        )

        def respond(event: events.Event) -> None:
            if self._count_traffic:
                self._count_answer(process, event)
            back_us = self.network.delays_us(
                target, process.vm.vm, repeatable=False
            )
            for delay_us in back_us:
                self.clock.after_us(
                    delay_us, self._answer, process, incarnation, effect, event
                )

        for delay_us in delays_us:
            self.clock.after_us(
                delay_us, self._serve, process, effect, target, serve, respond
            )

    def _serve(
        self,
        process: Process,
        effect: effects.Effect,
        target: str,
        serve: Callable[..., None],
        respond: Callable[[events.Event], None],
    ) -> None:
        if target in self.refusing:
            respond(_no_answer(effect, sent=False))
        if target in self.down:
            return
        for arrival in self.arrivals:
            arrival(process.vm.vm, target, effect)
        serve(effect, respond)

    def _answer(
        self,
        process: Process,
        incarnation: int,
        effect: effects.Effect,
        event: events.Event | None,
    ) -> None:
        if process.incarnation != incarnation or process.agent is None:
            return
        if effect.call not in process.calls:
            return
        process.calls.remove(effect.call)
        self._post(process, incarnation, event or _no_answer(effect))

    def _append(
        self,
        effect: effects.AppendLog,
        respond: Callable[[events.Event], None],
    ) -> None:
        self.clock.after_ms(
            self.log_delay_ms, self._append_now, effect, respond
        )

    def _append_now(
        self,
        effect: effects.AppendLog,
        respond: Callable[[events.Event], None],
    ) -> None:
        if LOG in self.down:
            return
        offset = self.log.append(
            effect.stream, effect.records, self.clock.now_ms
        )
        if not self.lose_append_answers:
            respond(events.LogAppended(call=effect.call, offset=offset))

    def _read(
        self, effect: effects.ReadLog, respond: Callable[[events.Event], None]
    ) -> None:
        page = self.log.read(
            effect.stream, effect.start, effect.limit, self.clock.now_ms
        )
        event = events.LogRead(call=effect.call, page=page)
        self.clock.after_ms(self.log_delay_ms, respond, event)

    def _list(
        self,
        effect: effects.ListPlatform,
        respond: Callable[[events.Event], None],
    ) -> None:
        view = self.platform.view(self.clock.now_ms)
        respond(events.PlatformListed(call=effect.call, view=view))

    def _work(
        self,
        effect: effects.CallWorker,
        respond: Callable[[events.Event], None],
    ) -> None:
        model = self.workers[effect.worker]
        answer = model.call(effect.body, self.clock.now_ms)
        self._wake_worker(effect.worker)
        respond(
            events.WorkerAnswered(
                call=effect.call, worker=effect.worker, answer=answer
            )
        )

    def _wake_worker(self, name: str) -> None:
        due_ms = self.workers[name].next_change_ms()
        if due_ms is None or self._due_ms.get(name, due_ms + 1) <= due_ms:
            return
        self._due_ms[name] = due_ms
        self.clock.after_ms(
            due_ms - self.clock.now_ms, self._advance_worker, name, due_ms
        )

    def _advance_worker(self, name: str, due_ms: int) -> None:
        if self._due_ms.get(name) == due_ms:
            del self._due_ms[name]
        self.workers[name].advance(self.clock.now_ms)
        self._wake_worker(name)

    def _run(
        self,
        effect: effects.CallRunner,
        respond: Callable[[events.Event], None],
    ) -> None:
        model = self.runners[effect.runner]
        refusal = model.begin(effect.spec, self.clock.now_ms)
        if refusal is not None:
            respond(
                events.RunnerAnswered(
                    call=effect.call, runner=effect.runner, answer=refusal
                )
            )
            return
        self.clock.after_ms(
            runner.service_ms(effect.spec), self._ran, effect, respond
        )

    def _ran(
        self,
        effect: effects.CallRunner,
        respond: Callable[[events.Event], None],
    ) -> None:
        model = self.runners[effect.runner]
        if not model.serving(effect.spec.request):
            return
        answer = model.finish(effect.spec.request, self.clock.now_ms)
        respond(
            events.RunnerAnswered(
                call=effect.call, runner=effect.runner, answer=answer
            )
        )

    def _count_call(self, process: Process, effect: effects.Effect) -> None:
        size = _HTTP_HEADER_BYTES
        if isinstance(effect, effects.CallWorker):
            size += len(msgspec.json.encode(effect.body))
        elif isinstance(effect, effects.CallRunner):
            size += len(msgspec.json.encode(effect.spec))
        elif isinstance(effect, effects.AppendLog):
            size += len(msgspec.json.encode(effect.records))
        process.traffic.add(type(effect).__name__, size)

    def _count_answer(self, process: Process, event: events.Event) -> None:
        body = getattr(
            event,
            {
                events.LogRead: "page",
                events.PlatformListed: "view",
                events.WorkerAnswered: "answer",
                events.RunnerAnswered: "answer",
            }.get(type(event), ""),
            None,
        )
        size = _HTTP_HEADER_BYTES + len(msgspec.json.encode(body))
        process.traffic.add(type(event).__name__, size)


def _no_answer(effect: effects.Effect, *, sent: bool = True) -> events.Event:
    match effect:
        case effects.AppendLog():
            return events.LogAppended(call=effect.call, offset=None)
        case effects.ReadLog():
            return events.LogRead(call=effect.call, page=None)
        case effects.ListPlatform():
            return events.PlatformListed(call=effect.call, view=None)
        case effects.CallWorker():
            return events.WorkerAnswered(
                call=effect.call, worker=effect.worker, answer=None
            )
        case _:
            return events.RunnerAnswered(
                call=effect.call,
                runner=effect.runner,
                answer=None,
                sent=sent,
            )
