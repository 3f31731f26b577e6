"""Simulated services that agents call: log, list, workers and runners."""

from collections.abc import Callable

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.bench import harness_clock
from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import states
from citronmount.standins import log_model
from citronmount.standins import platform_model
from citronmount.standins import runner_model
from citronmount.standins import worker_model
from citronmount.telemetry import timeline_events

__all__ = [
    "EPOCH_MS",
    "LOG",
    "PlatformServices",
    "VM_LIST",
    "call_target",
    "no_answer_event",
]

# Unix time at virtual time zero.
EPOCH_MS = 1_800_000_000_000
LOG = "log"
VM_LIST = "vm-list"

_LOG_DELAY_MS = 1

Respond = Callable[[events.Event], None]


class PlatformServices:
    """The platform's services and targets on the virtual clock.

    Attributes:
        log: The log service.
        platform: The list of VMs and targets.
        workers: The workers by id.
        runners: The runners by id.
        down: Services and targets that do not answer calls.
        refusing: Those of `down` that refuse connections at once.
        log_delay_ms: Time that the log takes for each call.
        lose_append_answers: Whether appends take effect but get no answer.
    """

    def __init__(
        self,
        *,
        clock: harness_clock.VirtualClock,
        view: messages.PlatformView,
        emit: Callable[[timeline_events.TimelineEvent], None],
        retention_ms: int,
        list_lag_ms: int,
    ) -> None:
        """Initializes services without faults.

        Args:
            clock: The virtual clock.
            view: The VMs and targets of the site.
            emit: Receives the timeline events of the targets.
            retention_ms: Retention time of log records.
            list_lag_ms: Time until the list shows a change.
        """
        self.log = log_model.LogModel(
            retention_ms=retention_ms, keep_history=True
        )
        self.platform = platform_model.PlatformModel(
            lag_ms=list_lag_ms, view=view
        )
        self.down: set[str] = set()
        self.refusing: set[str] = set()
        self.log_delay_ms = _LOG_DELAY_MS
        self.lose_append_answers = False
        self._clock = clock
        self._scheduled_end_ms: dict[str, int] = {}
        saved_progress: dict[ids.JobId, float] = {}
        self.workers = {
            target.name: worker_model.WorkerModel(
                target=target,
                emit=emit,
                epoch_ms=EPOCH_MS,
                saved_progress=saved_progress,
            )
            for target in view.workers
        }
        self.runners = {
            target.name: runner_model.RunnerModel(
                target=target, emit=emit, epoch_ms=EPOCH_MS
            )
            for target in view.runners
        }

    def crash_target(self, name: str, *, refuses: bool = False) -> None:
        """Crashes a worker or runner with everything that runs there.

        Args:
            name: Id of the worker or runner.
            refuses: Whether its machine stays up and refuses connections;
                otherwise calls time out.
        """
        self.down.add(name)
        if refuses:
            self.refusing.add(name)
        model = self.workers.get(name) or self.runners[name]
        model.crash(self._clock.now_ms)

    def restore_target(self, name: str) -> None:
        """Makes a crashed worker or runner answer calls again.

        Args:
            name: Id of the worker or runner.
        """
        self.down.discard(name)
        self.refusing.discard(name)

    def set_leaving(self, name: str, leaving: bool) -> None:
        """Sets and lists whether a target is leaving.

        Args:
            name: Id of the worker or runner.
            leaving: Whether it refuses new work.
        """
        state = states.TargetState.LEAVING if leaving else states.TargetState.UP
        if name in self.workers:
            self.workers[name].set_leaving(leaving)
        else:
            self.runners[name].leaving = leaving
        self.platform.set_target_state(name, state, self._clock.now_ms)

    def check_reachable(
        self, effect: effects.Effect, target: str, respond: Respond
    ) -> bool:
        """Returns whether a call reaches its target.

        Args:
            effect: The call.
            target: Name of the service or target.
            respond: Called at once with a failed call if the target refuses
                connections.

        Returns:
            Whether the target is up and can serve the call.
        """
        if target in self.refusing:
            respond(no_answer_event(effect, sent=False))
        return target not in self.down

    def serve(self, effect: effects.Effect, respond: Respond) -> None:
        """Serves a call.

        Args:
            effect: The call.
            respond: Called with the answer; not called if it is lost.
        """
        match effect:
            case effects.AppendLog():
                self._append_to_log(effect, respond)
            case effects.ReadLog():
                self._read_log(effect, respond)
            case effects.ListPlatform():
                self._list_platform(effect, respond)
            case effects.CallWorker():
                self._call_worker(effect, respond)
            case effects.CallRunner():
                self._call_runner(effect, respond)

    def _append_to_log(
        self,
        effect: effects.AppendLog,
        respond: Respond,
    ) -> None:
        self._clock.after_ms(
            self.log_delay_ms, self._complete_append, effect, respond
        )

    def _complete_append(
        self,
        effect: effects.AppendLog,
        respond: Respond,
    ) -> None:
        if LOG in self.down:
            return
        offset = self.log.append(
            effect.stream, effect.records, self._clock.now_ms
        )
        if not self.lose_append_answers:
            respond(events.LogAppended(call=effect.call, offset=offset))

    def _read_log(self, effect: effects.ReadLog, respond: Respond) -> None:
        page = self.log.read(
            effect.stream, effect.start, effect.limit, self._clock.now_ms
        )
        event = events.LogRead(call=effect.call, page=page)
        self._clock.after_ms(self.log_delay_ms, respond, event)

    def _list_platform(
        self,
        effect: effects.ListPlatform,
        respond: Respond,
    ) -> None:
        view = self.platform.view(self._clock.now_ms)
        respond(events.PlatformListed(call=effect.call, view=view))

    def _call_worker(
        self,
        effect: effects.CallWorker,
        respond: Respond,
    ) -> None:
        model = self.workers[effect.worker]
        answer = model.call(effect.body, self._clock.now_ms)
        self._schedule_worker_end(effect.worker)
        respond(
            events.WorkerAnswered(
                call=effect.call, worker=effect.worker, answer=answer
            )
        )

    def _schedule_worker_end(self, name: str) -> None:
        due_ms = self.workers[name].next_end_ms()
        if (
            due_ms is None
            or self._scheduled_end_ms.get(name, due_ms + 1) <= due_ms
        ):
            return
        self._scheduled_end_ms[name] = due_ms
        self._clock.after_ms(
            due_ms - self._clock.now_ms, self._advance_worker, name, due_ms
        )

    def _advance_worker(self, name: str, due_ms: int) -> None:
        if self._scheduled_end_ms.get(name) == due_ms:
            del self._scheduled_end_ms[name]
        self.workers[name].advance(self._clock.now_ms)
        self._schedule_worker_end(name)

    def _call_runner(
        self,
        effect: effects.CallRunner,
        respond: Respond,
    ) -> None:
        model = self.runners[effect.runner]
        refusal = model.begin(effect.spec, self._clock.now_ms)
        if refusal is not None:
            respond(
                events.RunnerAnswered(
                    call=effect.call, runner=effect.runner, answer=refusal
                )
            )
            return
        self._clock.after_ms(
            runner_model.service_ms(effect.spec),
            self._finish_request,
            effect,
            respond,
        )

    def _finish_request(
        self,
        effect: effects.CallRunner,
        respond: Respond,
    ) -> None:
        model = self.runners[effect.runner]
        if not model.is_serving(effect.spec.request):
            return
        answer = model.finish(effect.spec.request, self._clock.now_ms)
        respond(
            events.RunnerAnswered(
                call=effect.call, runner=effect.runner, answer=answer
            )
        )


def call_target(effect: effects.Effect) -> str | None:
    """Returns the service or target that an effect calls, or None."""
    match effect:
        case effects.AppendLog() | effects.ReadLog():
            return LOG
        case effects.ListPlatform():
            return VM_LIST
        case effects.CallWorker():
            return effect.worker
        case effects.CallRunner():
            return effect.runner
    return None


def no_answer_event(
    effect: effects.Effect, *, sent: bool = True
) -> events.Event:
    """Returns the event that reports a call without an answer.

    Args:
        effect: The call.
        sent: Whether any byte of the call may have been sent.

    Returns:
        The event, whose answer is None.
    """
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
