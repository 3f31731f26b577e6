"""Opens and closes the sessions of worker incarnations; renews their leases."""

import collections

import msgspec

from citronmount.core import ids
from citronmount.fleet import owner_state
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import worker_crashes
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import records

__all__ = ["WorkerSessions"]

SILENCE_MARGIN_MS = 600
MIN_SILENT_WORKERS = 2
SILENT_AFTER_UNANSWERED = 2
MAX_FIRST_RENEWALS = 128
SCAN_PERIOD_MS = 50


class WorkerSessions:
    """Manages one session per worker incarnation."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes without sessions.

        Args:
            state: State shared by the parts of the owner.
        """
        self._state = state
        self._crashes = worker_crashes.WorkerCrashes(state=state)
        self._directory_version = -1
        self._next_scan_ms = 0

    def sync_with_directory(self, now_ms: int, full_scan: bool) -> None:
        """Opens and closes sessions according to the worker directory.

        Args:
            now_ms: Monotonic time in milliseconds.
            full_scan: Whether to check even if no entry has changed.
        """
        version = self._state.directory.version
        if version == self._directory_version and not full_scan:
            return
        self._directory_version = version
        newest = self._state.directory.newest_incarnations()
        for worker in newest:
            session = self._state.sessions.get(worker.worker)
            if session is None:
                self._open_session(worker, now_ms)
            elif session.worker.life_ms < worker.life_ms:
                self.replace_incarnation(session, worker, now_ms)
            elif session.worker.life_ms == worker.life_ms:
                session.worker = worker
        self._end_superseded_runs(newest, now_ms)
        for worker_id in list(self._state.sessions):
            listed = self._state.directory.get(worker_id) is not None
            if not listed and not self._state.table.task_count_on(worker_id):
                del self._state.sessions[worker_id]

    def _open_session(
        self,
        worker: worker_directory.Worker,
        now_ms: int,
        former: worker_directory.Worker | None = None,
    ) -> None:
        """Opens a session and ends older incarnations on the same machine.

        The older ones have another worker id, or restored runs.

        Args:
            worker: The worker.
            now_ms: Monotonic time in milliseconds.
            former: The former incarnation under the worker's id, if known.
        """
        session = lease_sessions.LeaseSession(
            worker=worker,
            policy=self._state.policy,
            token=self._state.token,
            now_ms=now_ms,
        )
        self._state.sessions[worker.worker] = session
        self._hand_over_tasks(former or worker, worker, now_ms)
        for other in list(self._state.sessions.values()):
            same_machine = other.worker.machine == worker.machine
            older = other.worker.life_ms < worker.life_ms
            if same_machine and older and worker.machine:
                self._close_session(other, now_ms)
                tasks = self._state.table.tasks_on_worker(other.worker.worker)
                self.lose_tasks(tasks, other.worker, now_ms)

    def replace_incarnation(
        self,
        session: lease_sessions.LeaseSession,
        worker: worker_directory.Worker,
        now_ms: int,
    ) -> None:
        """Ends an incarnation's session and opens that of the next one.

        Args:
            session: The session of the incarnation that is over.
            worker: The next incarnation under the same id.
            now_ms: Monotonic time in milliseconds.
        """
        self._close_session(session, now_ms)
        self._open_session(worker, now_ms, former=session.worker)

    def _close_session(
        self, session: lease_sessions.LeaseSession, now_ms: int
    ) -> None:
        """Ends the session of an incarnation that is over."""
        worker_id = session.worker.worker
        self._state.log.info(
            "worker_life_over",
            worker=worker_id,
            life_ms=session.worker.life_ms,
            machine=session.worker.machine,
            state=session.worker.state.value,
            answered_ms_ago=session.silent_ms(now_ms),
            runs=self._state.table.task_count_on(worker_id),
        )
        del self._state.sessions[worker_id]
        self._crashes.incarnation_ended(
            session.worker, self._state.table.tasks_on_worker(worker_id), now_ms
        )
        self._state.unknown_task_counts.pop(worker_id, None)
        self._state.health.record_incarnation_end(session.worker, now_ms)
        self._state.needs_planning = True

    def _hand_over_tasks(
        self,
        former: worker_directory.Worker,
        worker: worker_directory.Worker,
        now_ms: int,
    ) -> None:
        """Decides about the tasks of earlier incarnations under a worker's id.

        Commands name a worker by its id alone, so the new incarnation may have
        executed a `Start` that was meant for an earlier one, or may still do
        so. Only tasks that an earlier one reported, or that were never sent,
        are lost for certain; the report of the new one tells about the others.
        """
        lost, uncertain = [], []
        for run, member in self._state.table.tasks_on_worker(worker.worker):
            if member.place.life_ms < worker.life_ms:
                tasks = lost if member.is_bound_to_place else uncertain
                tasks.append((run, member))
        self.lose_tasks(lost, former, now_ms)
        place = records.Place(worker=worker.worker, life_ms=worker.life_ms)
        for run, member in uncertain:
            member.hand_over(place)
            self._state.log.info(
                "task_handed_over",
                task=member.task,
                run=run.number,
                worker=worker.worker,
                life_ms=worker.life_ms,
                start_uncertain=member.start_uncertain,
            )
            # Its `Start` may still arrive; a `Stop` settles that.
            if member.start_uncertain:
                self._state.end_run(run, run_states.EndCause.MEMBER_ENDED)

    def _end_superseded_runs(
        self, newest: list[worker_directory.Worker], now_ms: int
    ) -> None:
        """Ends restored runs of incarnations that ended before the takeover.

        Such an incarnation has no session, but a newer one on its machine tells
        that it is over.

        Args:
            newest: The newest incarnation on each machine.
            now_ms: Monotonic time in milliseconds.
        """
        table = self._state.table
        orphaned = table.worker_ids() - self._state.sessions.keys()
        if not orphaned:
            return
        starts_ms = {each.machine: each.life_ms for each in newest}
        for worker_id in orphaned:
            former = self._state.directory.last_entry(worker_id)
            if former is None or not former.machine:
                continue
            if starts_ms.get(former.machine, 0) > former.life_ms:
                tasks = table.tasks_on_worker(worker_id)
                self.lose_tasks(tasks, former, now_ms)

    def lose_tasks(
        self,
        tasks: list[worker_crashes.RunMember],
        worker: worker_directory.Worker,
        now_ms: int,
    ) -> None:
        """Marks the tasks of an incarnation that is over as missing.

        Args:
            tasks: The tasks.
            worker: The worker of that incarnation, or of the next one under its
                id.
            now_ms: Monotonic time in milliseconds.
        """
        for run, member in tasks:
            self._state.mark_member_missing(
                run, member, run_states.MissingCause.INCARNATION_ENDED
            )
        if not tasks:
            return
        others_silent = any(
            self._may_have_just_crashed(session, now_ms)
            for session in self._state.sessions.values()
            if session.worker.machine != worker.machine
        )
        self._crashes.worker_crashed(worker, tasks, others_silent, now_ms)

    def _may_have_just_crashed(
        self, session: lease_sessions.LeaseSession, now_ms: int
    ) -> bool:
        """Returns whether a worker became silent a short time ago.

        One that has been silent for longer would have restarted since.
        """
        limit_ms = worker_crashes.COMMON_CAUSE_MS + self._max_silence_ms
        return (
            self._is_silent(session, now_ms)
            and session.unheard_ms(now_ms) <= limit_ms
        )

    def send_due_renewals(self, now_ms: int) -> None:
        """Sends the lease renewals that are due.

        An owner may have more than a thousand workers. Each step checks only
        the workers whose session may have changed; all workers are checked
        every `SCAN_PERIOD_MS`.
        """
        sessions = self._state.sessions
        changed, self._state.changed_workers = (
            self._state.changed_workers,
            set(),
        )
        if now_ms < self._next_scan_ms:
            due = [
                sessions[worker_id]
                for worker_id in changed
                if worker_id in sessions
            ]
        else:
            self._next_scan_ms = now_ms + SCAN_PERIOD_MS
            due = list(sessions.values())
            self._send_first_renewals(now_ms)
        for session in due:
            session.task_count = self._state.table.task_count_on(
                session.worker.worker
            )
            if session.has_answered:
                self._send_renewal(session, now_ms)

    def _send_first_renewals(self, now_ms: int) -> None:
        """Sends the first renewals to workers that have not answered yet.

        Workers that may hold tasks come first, those that left renewals
        unanswered last. At most `MAX_FIRST_RENEWALS` are pending at a time:
        with more concurrent calls, each would exceed its time limit and be
        retried.
        """
        unanswered = [
            session
            for session in self._state.sessions.values()
            if not session.has_answered
        ]
        free_slots = MAX_FIRST_RENEWALS - sum(
            session.renewal_pending for session in unanswered
        )
        for session in unanswered:
            worker_id = session.worker.worker
            session.task_count = self._state.table.task_count_on(worker_id)
        unanswered.sort(
            key=lambda session: (
                session.unanswered_renewals,
                not session.task_count,
            )
        )
        for session in unanswered:
            if free_slots <= 0:
                return
            free_slots -= self._send_renewal(session, now_ms)

    def _send_renewal(
        self, session: lease_sessions.LeaseSession, now_ms: int
    ) -> bool:
        """Sends a session's renewal if it is due; returns whether it was."""
        command = session.next_renewal(now_ms)
        if command is not None:
            event = self._state.next_event()
            self._state.commands.append(
                msgspec.structs.replace(command, event=event)
            )
        return command is not None

    def usable_workers(self, now_ms: int) -> list[worker_directory.Worker]:
        """Returns the workers that may receive new tasks."""
        silent_domains = self._silent_domains(now_ms)
        return [
            session.worker
            for worker_id, session in self._state.sessions.items()
            if session.has_answered
            and not self._is_silent(session, now_ms)
            and session.worker.failure_domain not in silent_domains
            and not self._state.unknown_task_counts.get(worker_id)
            and self._state.suspended_until_ms.get(worker_id, 0) <= now_ms
            and self._state.directory.is_usable(session.worker)
        ]

    def _is_silent(
        self, session: lease_sessions.LeaseSession, now_ms: int
    ) -> bool:
        """Returns whether a worker has not answered although it should have.

        A worker without tasks receives no renewals, unless it left one
        unanswered, so its silence alone proves nothing.
        """
        if session.unanswered_renewals >= SILENT_AFTER_UNANSWERED:
            return True
        return (
            bool(session.task_count)
            and session.silent_ms(now_ms) >= self._max_silence_ms
        )

    @property
    def _max_silence_ms(self) -> int:
        """Longest time between two answers of a sound worker with tasks."""
        policy = self._state.policy
        return policy.wait_ms + policy.retry_ms + SILENCE_MARGIN_MS

    def _silent_domains(self, now_ms: int) -> set[ids.FailureDomainId]:
        """Returns the failure domains in which no busy worker answers.

        The idle workers of an unreachable failure domain receive no renewals,
        so they are judged by the busy ones, of which at least
        `MIN_SILENT_WORKERS` must be silent.
        """
        silent: dict[ids.FailureDomainId, list[bool]] = collections.defaultdict(
            list
        )
        for session in self._state.sessions.values():
            if session.has_answered and session.task_count:
                domain = session.worker.failure_domain
                silent[domain].append(self._is_silent(session, now_ms))
        return {
            domain
            for domain, each in silent.items()
            if len(each) >= MIN_SILENT_WORKERS and all(each)
        }
