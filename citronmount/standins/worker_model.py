"""In-memory stand-in for a worker, the target of jobs."""

from collections.abc import Callable

import msgspec

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.telemetry import timeline_events

__all__ = ["TaskBehaviour", "WorkerModel", "parse_behaviour"]

_DEFAULT_COMMAND = '{"run_ms": 1000}'


class TaskBehaviour(msgspec.Struct, frozen=True, kw_only=True):
    """Simulated behaviour of the tasks of a job, set by its command.

    Attributes:
        run_ms: Run time of a task at full speed.
        exit_code: Exit code of a task; 0 for success.
        save_ms: Time that a task needs to save its progress before a stop.
    """

    run_ms: int = 1_000
    exit_code: int = 0
    save_ms: int = 0


def parse_behaviour(spec: jobs.JobSpec) -> TaskBehaviour:
    """Parses the behaviour of a job from its command.

    Args:
        spec: The job, whose command is a JSON `TaskBehaviour`.

    Returns:
        The behaviour; the defaults for any other command.
    """
    try:
        return msgspec.json.decode(
            spec.command or _DEFAULT_COMMAND, type=TaskBehaviour
        )
    except msgspec.MsgspecError:
        return TaskBehaviour()


class _Lease(msgspec.Struct, kw_only=True):
    """State of one attempt on the worker."""

    reserve: messages.Reserve
    state: states.LeaseState
    expires_ms: int
    ran: bool = False
    exit_code: int | None = None
    started_ms: int = 0
    ended_ms: int = 0
    work_ms: float = 0.0
    worked_until_ms: int = 0
    share: float = 1.0
    progress: float = 0.0
    stop_ms: int | None = None


class WorkerModel:
    """A worker that runs attempts under leases and rejects stale tokens.

    The command of a job sets the simulated behaviour of its tasks, for example
    ``{"run_ms": 5000, "exit_code": 0}``.

    Attributes:
        target: Entry of the worker in the platform's list.
        worker: Id of the worker.
        leaving: Whether the worker refuses new reservations.
        fail_every_start: Whether every start fails.
        token: Highest fencing token seen; acts with a lower one are rejected.
        sequence: Number of the newest report; incremented when it changes.
    """

    def __init__(
        self,
        *,
        target: messages.ListedTarget,
        emit: Callable[[timeline_events.TimelineEvent], None] = lambda event: (
            None
        ),
        epoch_ms: int = 0,
        saved_progress: dict[ids.JobId, float] | None = None,
    ) -> None:
        """Initializes an idle worker.

        Args:
            target: Entry of the worker in the platform's list.
            emit: Receives the timeline events.
            epoch_ms: Unix time in ms at which the worker's clock is zero.
            saved_progress: Checkpointed share of the work of each job, from 0
                to 1. Workers that share the mapping resume each other's jobs.
        """
        self.target = target
        self.worker = ids.WorkerId(target.name)
        self.leaving = target.state is states.TargetState.LEAVING
        self.fail_every_start = False
        self.token = ids.FenceToken(0)
        self.sequence = 0
        self._emit = emit
        self._epoch_ms = epoch_ms
        self._saved_progress = {} if saved_progress is None else saved_progress
        self._leases: dict[ids.AttemptId, _Lease] = {}
        self._ran_by_stopped_attempt: dict[ids.AttemptId, bool] = {}
        self._now_ms = 0

    def call(
        self, call: messages.WorkerCall, now_ms: int
    ) -> messages.WorkerAnswer:
        """Executes a batch of acts.

        Args:
            call: The acts and the fencing token of the caller.
            now_ms: Current time of the worker.

        Returns:
            One result for each act, and a report if the caller does not know
            the newest sequence number.
        """
        self.advance(now_ms)
        results = tuple(self._execute_acts(call))
        stale = self.sequence != call.known_sequence
        return messages.WorkerAnswer(
            token=self.token,
            results=results,
            report=self.report() if stale else None,
        )

    def report(self) -> messages.Report:
        """Returns the state of the worker and of all its leases."""
        state = (
            states.TargetState.LEAVING
            if self.leaving
            else states.TargetState.UP
        )
        return messages.Report(
            worker=self.worker,
            token=self.token,
            sequence=self.sequence,
            state=state,
            leases=tuple(map(self._lease_report, self._leases.values())),
        )

    def advance(self, now_ms: int) -> None:
        """Advances the clock and ends attempts that are due, in time order.

        Args:
            now_ms: Current time of the worker.
        """
        while (due := self._next_end()) is not None and due[0] <= now_ms:
            end_ms, state, attempt = due
            self._now_ms = max(self._now_ms, end_ms)
            self._end_lease(attempt, states.LeaseState(state))
        self._now_ms = max(self._now_ms, now_ms)

    def next_end_ms(self) -> int | None:
        """Returns when the next attempt is due to end, or None."""
        due = self._next_end()
        return None if due is None else due[0]

    def set_leaving(self, leaving: bool) -> None:
        """Sets whether the worker is leaving.

        Args:
            leaving: Whether the worker refuses new reservations.
        """
        self.leaving = leaving
        self.sequence += 1

    def crash(self, now_ms: int) -> None:
        """Ends every attempt.

        The fencing token and the record of stopped attempts survive.

        Args:
            now_ms: Current time of the worker.
        """
        self.advance(now_ms)
        for attempt, lease in self._leases.items():
            if lease.state.holds_resources:
                self._end_lease(attempt, states.LeaseState.LAPSED)

    def _execute_acts(
        self, call: messages.WorkerCall
    ) -> list[messages.ActResult]:
        if call.token < self.token:
            return [_make_result(messages.ActOutcome.STALE_TOKEN)] * len(
                call.acts
            )
        if call.token > self.token:
            self.token = call.token
            self.sequence += 1
        return [self._execute_act(act) for act in call.acts]

    def _execute_act(self, act: messages.Act) -> messages.ActResult:
        match act:
            case messages.Reserve():
                return _make_result(self._reserve(act))
            case messages.Start():
                return _make_result(self._start(act))
            case messages.Renew():
                return self._renew(act)
            case messages.Checkpoint():
                return self._checkpoint(act)
            case messages.Throttle():
                return self._throttle(act)
            case messages.Stop():
                return _make_result(self._stop(act))
            case messages.Forget():
                return self._forget(act)

    def _reserve(self, act: messages.Reserve) -> messages.ActOutcome:
        lease = self._leases.get(act.attempt)
        if lease is not None and lease.state.holds_resources:
            return messages.ActOutcome.DONE
        if lease is not None or act.attempt in self._ran_by_stopped_attempt:
            return messages.ActOutcome.STOPPED_BEFORE
        if self.leaving:
            return messages.ActOutcome.LEAVING
        if not self._has_capacity(act):
            return messages.ActOutcome.NO_CAPACITY
        self._leases[act.attempt] = _Lease(
            reserve=act,
            state=states.LeaseState.RESERVED,
            expires_ms=self._now_ms + act.ttl_ms,
        )
        self.sequence += 1
        self._trace(timeline_events.EventKind.TASK_RESERVED, act)
        return messages.ActOutcome.DONE

    def _start(self, act: messages.Start) -> messages.ActOutcome:
        lease = self._leases.get(act.attempt)
        if lease is None:
            return messages.ActOutcome.NOT_RESERVED
        if lease.state is states.LeaseState.RUNNING:
            return messages.ActOutcome.DONE
        if lease.state is states.LeaseState.FAILED and not lease.ran:
            return messages.ActOutcome.FAILED_TO_START
        if lease.state is not states.LeaseState.RESERVED:
            return messages.ActOutcome.NOT_RESERVED
        if self.fail_every_start:
            self._end_lease(act.attempt, states.LeaseState.FAILED)
            return messages.ActOutcome.FAILED_TO_START
        lease.state = states.LeaseState.RUNNING
        lease.ran = True
        lease.started_ms = lease.worked_until_ms = self._now_ms
        lease.expires_ms = self._now_ms + act.ttl_ms
        lease.progress = self._saved_progress.get(lease.reserve.spec.job, 0.0)
        lease.work_ms = lease.progress * _run_ms(lease)
        self.sequence += 1
        self._trace(timeline_events.EventKind.TASK_STARTED, lease.reserve)
        return messages.ActOutcome.DONE

    def _renew(self, act: messages.Renew) -> messages.ActResult:
        for attempt, lease in self._leases.items():
            running = lease.state is states.LeaseState.RUNNING
            if running and attempt not in act.lapse:
                lease.expires_ms = self._now_ms + act.ttl_ms
        return _make_result(messages.ActOutcome.DONE)

    def _checkpoint(self, act: messages.Checkpoint) -> messages.ActResult:
        lease = self._running_lease(act.attempt)
        if lease is None:
            return _make_result(messages.ActOutcome.NOT_RUNNING)
        self._save_progress(lease)
        self.sequence += 1
        return messages.ActResult(
            outcome=messages.ActOutcome.DONE, progress=lease.progress
        )

    def _throttle(self, act: messages.Throttle) -> messages.ActResult:
        lease = self._running_lease(act.attempt)
        if lease is None:
            return _make_result(messages.ActOutcome.NOT_RUNNING)
        self._update_work(lease)
        lease.share = act.share
        return _make_result(messages.ActOutcome.DONE)

    def _stop(self, act: messages.Stop) -> messages.ActOutcome:
        lease = self._leases.get(act.attempt)
        ran = self._ran_by_stopped_attempt.get(act.attempt, False)
        if lease is not None:
            ran = lease.ran
        self._ran_by_stopped_attempt[act.attempt] = ran
        if lease is not None and lease.state.holds_resources:
            self._stop_lease(lease, act)
        if ran:
            return messages.ActOutcome.RAN
        return messages.ActOutcome.NEVER_RAN

    def _stop_lease(self, lease: _Lease, act: messages.Stop) -> None:
        save_ms = min(act.grace_ms, parse_behaviour(lease.reserve.spec).save_ms)
        if lease.ran and act.grace_ms:
            self._save_progress(lease)
        if not lease.ran or not save_ms:
            self._end_lease(act.attempt, states.LeaseState.STOPPED)
            return
        stop_ms = self._now_ms + save_ms
        lease.stop_ms = min(stop_ms, lease.stop_ms or stop_ms)

    def _forget(self, act: messages.Forget) -> messages.ActResult:
        for attempt in act.attempts:
            lease = self._leases.get(attempt)
            if lease is not None and not lease.state.holds_resources:
                del self._leases[attempt]
                self._ran_by_stopped_attempt[attempt] = lease.ran
                self.sequence += 1
        return _make_result(messages.ActOutcome.DONE)

    def _running_lease(self, attempt: ids.AttemptId) -> _Lease | None:
        lease = self._leases.get(attempt)
        if lease is None or lease.state is not states.LeaseState.RUNNING:
            return None
        return lease

    def _has_capacity(self, act: messages.Reserve) -> bool:
        held = [
            (lease.reserve.tasks, lease.reserve.spec.per_task)
            for lease in self._leases.values()
            if lease.state.holds_resources
        ]
        wanted = [*held, (act.tasks, act.spec.per_task)]
        capacity = self.target.capacity
        return (
            sum(n * r.accelerators for n, r in wanted) <= capacity.accelerators
            and sum(n * r.cores for n, r in wanted) <= capacity.cores
            and sum(n * r.memory_gb for n, r in wanted) <= capacity.memory_gb
        )

    def _next_end(self) -> tuple[int, str, ids.AttemptId] | None:
        ends = [
            (*_expected_end(lease), attempt)
            for attempt, lease in self._leases.items()
            if lease.state.holds_resources
        ]
        return min(ends, default=None)

    def _end_lease(
        self, attempt: ids.AttemptId, state: states.LeaseState
    ) -> None:
        lease = self._leases[attempt]
        self._update_work(lease)
        if state is states.LeaseState.FINISHED:
            lease.exit_code = parse_behaviour(lease.reserve.spec).exit_code
            if lease.exit_code:
                state = states.LeaseState.FAILED
            else:
                lease.progress = 1.0
        lease.state = state
        lease.ended_ms = self._now_ms
        self.sequence += 1
        self._trace(
            timeline_events.EventKind.TASK_ENDED,
            lease.reserve,
            code=lease.exit_code or 0,
            detail=state.value,
        )

    def _update_work(self, lease: _Lease) -> None:
        if lease.state is states.LeaseState.RUNNING:
            elapsed_ms = self._now_ms - lease.worked_until_ms
            lease.work_ms += elapsed_ms * lease.share
            lease.worked_until_ms = self._now_ms

    def _save_progress(self, lease: _Lease) -> None:
        self._update_work(lease)
        lease.progress = min(1.0, lease.work_ms / _run_ms(lease))
        self._saved_progress[lease.reserve.spec.job] = lease.progress

    def _lease_report(self, lease: _Lease) -> messages.LeaseReport:
        until_ms = (
            self._now_ms if lease.state.holds_resources else lease.ended_ms
        )
        return messages.LeaseReport(
            attempt=lease.reserve.attempt,
            number=lease.reserve.number,
            state=lease.state,
            spec=lease.reserve.spec,
            placement=lease.reserve.placement,
            ran=lease.ran,
            exit_code=lease.exit_code,
            running_ms=until_ms - lease.started_ms if lease.ran else 0,
            progress=lease.progress,
        )

    def _trace(
        self,
        kind: timeline_events.EventKind,
        act: messages.Reserve,
        *,
        code: int = 0,
        detail: str = "",
    ) -> None:
        self._emit(
            timeline_events.TimelineEvent(
                physical_ms=self._epoch_ms + self._now_ms,
                logical=0,
                process=self.target.name,
                kind=kind,
                job=act.spec.job,
                attempt=act.attempt,
                account=act.spec.account,
                target=self.target.name,
                failure_domain=self.target.failure_domain,
                code=code,
                count=act.tasks,
                detail=detail,
            )
        )


def _make_result(outcome: messages.ActOutcome) -> messages.ActResult:
    return messages.ActResult(outcome=outcome)


def _run_ms(lease: _Lease) -> int:
    return max(1, parse_behaviour(lease.reserve.spec).run_ms)


def _expected_end(lease: _Lease) -> tuple[int, str]:
    """Returns the time and final state of a lease if no act changes it."""
    ends = [(lease.expires_ms, states.LeaseState.LAPSED.value)]
    if lease.stop_ms is not None:
        ends.append((lease.stop_ms, states.LeaseState.STOPPED.value))
    if lease.state is states.LeaseState.RUNNING and lease.share > 0:
        remaining_ms = max(0.0, _run_ms(lease) - lease.work_ms) / lease.share
        finish_ms = lease.worked_until_ms + round(remaining_ms)
        ends.append((finish_ms, states.LeaseState.FINISHED.value))
    return min(ends)
