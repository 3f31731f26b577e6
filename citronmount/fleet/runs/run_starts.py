"""Starts placed runs, on workers that still accept them.

A placement is a decision about the future: until its victims have ended and its
record is durable, a worker may start to drain, its failure domain may be taken
out of service, or its capacity may shrink.
"""

from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.workers import worker_allocations
from citronmount.workflow import records

__all__ = ["RunStarts"]

MAX_START_ATTEMPTS = 4


class RunStarts:
    """Starts the members of runs, within the capacity that workers have now."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes the starts.

        Args:
            state: State shared by the parts of the owner.
        """
        self._state = state

    def send_due(self, run: unit_runs.Run, now_ms: int) -> None:
        """Sends the `Start` commands that are due.

        A run is withdrawn if a worker no longer accepts tasks, or if its
        capacity has shrunk since the placement and no longer holds all that
        runs or may still start there.
        """
        due = [
            member
            for member in run.live_members
            if member.state is run_states.MemberState.STARTING
            and not (member.start_answered or member.start_open)
            and now_ms >= member.next_order_ms
        ]
        if any(member.start_tries >= MAX_START_ATTEMPTS for member in due):
            self._state.end_run(run, run_states.EndCause.MEMBER_NOT_STARTED)
        elif any(self._is_closed(each.place) for each in due):
            self._withdraw(run, run_states.EndCause.WORKER_CLOSED)
        elif any(self._is_overcommitted(each.place, run) for each in due):
            self._withdraw(run, run_states.EndCause.CAPACITY_SHRANK)
        else:
            for member in due:
                self._send_start(run, member, now_ms)

    def withdraw_if_closed(self, run: unit_runs.Run) -> None:
        """Withdraws a run that has not started if a worker closed meanwhile.

        Its unit is then placed again at once, instead of after the end of the
        runs that it preempts.
        """
        if any(self._is_closed(member.place) for member in run.live_members):
            self._withdraw(run, run_states.EndCause.WORKER_CLOSED)

    def _is_closed(self, place: records.Place) -> bool:
        session = self._state.session_at_place(place)
        return session is not None and not (
            self._state.directory.accepts_tasks(session.worker)
        )

    def _is_overcommitted(
        self, place: records.Place, run: unit_runs.Run
    ) -> bool:
        """Returns whether the tasks on a worker exceed its capacity.

        Runs that still wait for others to end do not count, except for the run
        itself: they start nothing before.
        """
        session = self._state.session_at_place(place)
        if session is None:
            return False
        capacity = session.worker.capacity
        used = self._state.table.allocations.used(place.worker)
        if worker_allocations.max_task_count(capacity, used, 1):
            return False
        used = worker_allocations.NO_DEMAND
        for other, _ in self._state.table.tasks_on_worker(place.worker):
            if other is run or other.phase is not run_states.RunPhase.CLEARING:
                used = worker_allocations.add_demands(
                    used, worker_allocations.allocated_demand(other.step)
                )
        return not worker_allocations.max_task_count(capacity, used, 1)

    def _withdraw(self, run: unit_runs.Run, cause: run_states.EndCause) -> None:
        """Ends a run; what it had not started no longer uses capacity."""
        self._state.end_run(run, cause)
        for member in run.live_members:
            if not member.may_have_started:
                self._state.table.mark_gone(run, member)

    def _send_start(
        self, run: unit_runs.Run, member: unit_runs.Member, now_ms: int
    ) -> None:
        session = self._state.session_at_place(member.place)
        if session is None:
            self._state.table.mark_gone(run, member)
            self._state.end_run(run, run_states.EndCause.MEMBER_NOT_STARTED)
            return
        member.start_open = True
        member.start_tries += 1
        member.start_sent_ms = now_ms
        self._state.commands.append(
            commands.Start(
                worker=session.worker,
                task=member.task,
                run=run.number,
                payload=run.submission.workflow.payload,
                until_ms=session.grant_lease_ms(now_ms),
                saved=run.saved,
                token=self._state.token,
                ticket=self._state.advice.ticket(
                    run.key.step_id, session.worker, now_ms
                ),
                attempt=member.start_tries,
            )
        )
