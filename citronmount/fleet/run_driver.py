"""Drives runs from their decision to their end."""

from collections.abc import Iterable

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import owner_state
from citronmount.fleet import slow_members
from citronmount.fleet import unit_runs
from citronmount.fleet import worker_directory
from citronmount.workflow import records
from citronmount.workflow import units

__all__ = ["RunDriver"]

START_TRIES = 4
STALL_FACTOR = 4
STALL_FLOOR_MS = 20_000
STILL_FLOOR_MS = 2_000
STILL_ESTIMATE_SHARE = 0.25
MOST_MOVES = 2


class RunDriver:
    """Records runs, sends their orders and gives up what has lapsed."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes the part.

        Args:
            state: What it shares with the other parts.
        """
        self._state = state

    def restore(self, now_ms: int) -> None:
        """Makes runs of all that workers may still hold."""
        for entry in self._state.job_view.jobs.values():
            workflow = entry.submission.workflow
            for change in entry.progress.changed.values():
                if not change.places:
                    continue
                key = units.UnitKey.parse(change.unit)
                run = unit_runs.Run(
                    key=key,
                    step=workflow.steps[key.step],
                    submission=entry.submission,
                    number=change.run,
                    places=change.places,
                    phase=unit_runs.RunPhase.ACTIVE,
                    failures=change.failures,
                    saved=change.saved,
                    restored=True,
                    now_ms=now_ms,
                )
                for member in run.members:
                    member.state = unit_runs.MemberState.ORDERED
                    member.start_answered = True
                if change.status is records.UnitStatus.WAITING:
                    self._state.end_run(run, unit_runs.EndCause.MEMBER_ENDED)
                self._state.table.add(run)

    def recorded(self, change: records.UnitChanged) -> None:
        """Takes in that the record of a run is durable."""
        run = self._state.table.get(change.unit)
        if (
            run is None
            or run.number != change.run
            or change.status is not records.UnitStatus.PLACED
            or run.phase is not unit_runs.RunPhase.RECORDING
        ):
            return
        run.phase = unit_runs.RunPhase.ACTIVE
        for member in run.members:
            member.state = unit_runs.MemberState.ORDERED

    def settle(self, now_ms: int, look: bool) -> None:
        """Brings every run a step further and removes those over.

        Load pattern: hundreds of runs are at work while a few start or end. A
        run at work needs no order, so only the passing of time matters to it.

        Args:
            now_ms: Steady time in milliseconds.
            look: Whether runs at work are looked at as well.
        """
        for run in self._state.table:
            if run.at_work and not look:
                continue
            if run.phase is unit_runs.RunPhase.CLEARING:
                self.clear(run)
            elif run.phase is unit_runs.RunPhase.ACTIVE:
                self._drive(run, now_ms)
                self._end_if_still(run, now_ms)
                self._end_if_held_up(run, now_ms)
                self._end_if_hanging(run, now_ms)
                self._move_off_leaving_workers(run, now_ms)
            elif run.phase is unit_runs.RunPhase.ENDING:
                self.drive_to_end(run, now_ms)
            self._note_lapsed(run, now_ms)
            if run.over:
                self._state.table.remove(run)
                self._state.clearing.pop(run.unit, None)
                self._state.ready_since[run.unit] = now_ms
                self._state.last_runs[run.unit] = run
                self._state.changed = True

    def clear(self, run: unit_runs.Run) -> None:
        """Records a run once what it waits for has ended."""
        victims = self._state.clearing.get(run.unit, [])
        if all(victim.over for victim in victims):
            run.phase = unit_runs.RunPhase.RECORDING
            self._state.write(run.record(records.UnitStatus.PLACED))

    def _drive(self, run: unit_runs.Run, now_ms: int) -> None:
        """Sends the orders to start that are due."""
        for member in run.live_members:
            if member.state is not unit_runs.MemberState.ORDERED:
                continue
            if member.start_answered or member.start_open:
                continue
            if now_ms < member.next_order_ms:
                continue
            if member.start_tries >= START_TRIES:
                self._state.end_run(run, unit_runs.EndCause.MEMBER_NOT_STARTED)
                return
            self._send_start(run, member, now_ms)

    def _end_if_still(self, run: unit_runs.Run, now_ms: int) -> None:
        """Ends a run of which a member does not get on, so that it moves.

        Each time the limit doubles, as with `_end_if_hanging`.
        """
        if run.started_ms is None or run.step.lasting:
            return
        share_ms = run.step.estimate_ms * STILL_ESTIMATE_SHARE
        patience = 2 ** self._state.stalls[run.unit]
        limit_ms = max(STILL_FLOOR_MS, share_ms) * patience
        still = [
            member.place.worker
            for member in run.live_members
            if member.progress.still_ms >= limit_ms
        ]
        if still:
            self._state.log.warning(
                "run_stands_still",
                unit=run.unit,
                run=run.number,
                workers=still,
                limit_ms=int(limit_ms),
            )
            self._leave(run, still, unit_runs.EndCause.STALLED, now_ms)

    def _end_if_held_up(self, run: unit_runs.Run, now_ms: int) -> None:
        """Ends a gang that is done sooner if it begins again elsewhere."""
        if run.phase is not unit_runs.RunPhase.ACTIVE or run.step.lasting:
            return
        if run.started_ms is None or len(run.members) < 2:
            return
        if self._state.stalls[run.unit] >= MOST_MOVES:
            return
        slow = slow_members.slow_workers(run)
        if slow:
            self._state.log.warning(
                "run_held_up",
                unit=run.unit,
                run=run.number,
                workers=sorted(slow),
                elapsed_ms=now_ms - run.started_ms,
            )
            self._leave(run, slow, unit_runs.EndCause.SLOW_MEMBER, now_ms)

    def _leave(
        self,
        run: unit_runs.Run,
        places: Iterable[ids.WorkerId],
        cause: unit_runs.EndCause,
        now_ms: int,
    ) -> None:
        """Ends a run whose unit shall avoid some workers from now on."""
        self._state.stalls[run.unit] += 1
        self._state.failed_at.setdefault(run.unit, set()).update(places)
        for worker in places:
            self._state.health.stands_still(worker, now_ms)
        self._state.end_run(run, cause)

    def _end_if_hanging(self, run: unit_runs.Run, now_ms: int) -> None:
        """Ends a run that stands still, so that it goes on elsewhere.

        Each time the limit doubles: a job that is far longer than it said
        ends all the same.
        """
        estimate_ms = run.step.estimate_ms
        if run.started_ms is None or run.step.lasting or not estimate_ms:
            return
        elapsed_ms = now_ms - run.started_ms
        if elapsed_ms < estimate_ms:
            return
        factors = [
            self._state.health.overdue(
                member.place.worker, elapsed_ms, estimate_ms, now_ms
            )
            for member in run.live_members
        ]
        patience = 2 ** self._state.stalls[run.unit]
        least = min(factors, default=0.0)
        if elapsed_ms < STALL_FLOOR_MS * patience:
            return
        if least >= STALL_FACTOR * patience:
            self._state.stalls[run.unit] += 1
            self._state.log.warning(
                "run_stalled",
                unit=run.unit,
                run=run.number,
                elapsed_ms=elapsed_ms,
                estimate_ms=estimate_ms,
            )
            self._state.end_run(run, unit_runs.EndCause.STALLED)

    def _move_off_leaving_workers(
        self, run: unit_runs.Run, now_ms: int
    ) -> None:
        """Ends a run that loses nothing by going on elsewhere.

        What runs on a worker ends when that leaves. Lasting tasks, and those
        that save their work and would not be done by then, move before.
        """
        if run.started_ms is None:
            return
        if not (run.step.lasting or run.step.checkpoints):
            return
        left_ms = run.started_ms + run.step.estimate_ms - now_ms
        for member in run.live_members:
            session = self._state.session_at(member.place)
            if session is None:
                continue
            worker = session.worker
            if worker.state is not worker_directory.WorkerState.DRAINING:
                continue
            if run.step.lasting or left_ms > (worker.remaining_ms or 0):
                self._state.end_run(run, unit_runs.EndCause.WORKER_LEAVES)
                return

    def _send_start(
        self, run: unit_runs.Run, member: unit_runs.Member, now_ms: int
    ) -> None:
        session = self._state.session_at(member.place)
        if session is None:
            self._state.table.gone(run, member)
            self._state.end_run(run, unit_runs.EndCause.MEMBER_NOT_STARTED)
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
                until_ms=session.lease_until_ms(now_ms),
                saved=run.saved,
                token=self._state.token,
                ticket=self._state.advice.ticket(
                    run.key.step_id, session.worker, now_ms
                ),
                attempt=member.start_tries,
            )
        )

    def drive_to_end(self, run: unit_runs.Run, now_ms: int) -> None:
        """Sends the orders to stop that are due."""
        for member in run.live_members:
            if not member.ordered:
                self._state.table.gone(run, member)
            elif not member.stop_open and not member.stop_answered:
                self._send_stop(run, member, now_ms)

    def _send_stop(
        self, run: unit_runs.Run, member: unit_runs.Member, now_ms: int
    ) -> None:
        session = self._state.session_at(member.place)
        if session is None:
            return
        if now_ms < member.next_order_ms:
            return
        member.stop_open = True
        self._state.commands.append(
            commands.Stop(
                worker=session.worker,
                task=member.task,
                run=run.number,
                token=self._state.token,
            )
        )

    def _note_lapsed(self, run: unit_runs.Run, now_ms: int) -> None:
        """Gives up members whose lease has surely run out."""
        for member in run.live_members:
            if member.state is unit_runs.MemberState.HELD:
                continue
            session = self._state.sessions.get(member.place.worker)
            if session is None:
                if now_ms > self._state.orphans_gone_ms:
                    self._state.member_gone(run, member)
                continue
            silent = session.silent_ms(now_ms) > self._state.policy.trust_ms
            if (silent or not session.primed) and session.lapsed(now_ms):
                self._state.member_gone(run, member)
