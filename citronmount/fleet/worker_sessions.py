"""Opens and closes sessions with workers as their lives begin and end."""

import collections

from citronmount.core import ids
from citronmount.fleet import lease_sessions
from citronmount.fleet import owner_state
from citronmount.fleet import worker_directory

__all__ = ["WorkerSessions"]

SILENCE_MARGIN_MS = 600
WITNESSES = 2
SHUNNED_AFTER_HOLDS = 2
MAX_FIRST_RENEWALS = 128
SCAN_PERIOD_MS = 50


class WorkerSessions:
    """One session for each life of a worker."""

    def __init__(self, *, state: owner_state.OwnerState) -> None:
        """Initializes the part.

        Args:
            state: What it shares with the other parts.
        """
        self._state = state
        self._directory_version = -1
        self._next_scan_ms = 0

    def follow_directory(self, now_ms: int, look: bool) -> None:
        """Opens and closes sessions as the entries tell.

        Args:
            now_ms: Steady time in milliseconds.
            look: Whether to look although no entry has changed.
        """
        version = self._state.directory.version
        if version == self._directory_version and not look:
            return
        self._directory_version = version
        for worker in self._state.directory.newest_incarnations():
            session = self._state.sessions.get(worker.worker)
            if session is None:
                self._open_session(worker, now_ms)
            elif session.worker.life_ms != worker.life_ms:
                self.life_over(session, now_ms)
                self._open_session(worker, now_ms)
            else:
                session.worker = worker
        for name in list(self._state.sessions):
            listed = self._state.directory.get(name) is not None
            if not listed and not self._state.table.count_on(name):
                del self._state.sessions[name]

    def _open_session(
        self, worker: worker_directory.Worker, now_ms: int
    ) -> None:
        session = lease_sessions.LeaseSession(
            worker=worker,
            policy=self._state.policy,
            token=self._state.token,
            now_ms=now_ms,
        )
        self._state.sessions[worker.worker] = session
        for run, member in self._state.table.on_worker(worker.worker):
            if member.place.life_ms != worker.life_ms:
                self._state.member_gone(run, member)
        for other in list(self._state.sessions.values()):
            same = other.worker.machine == worker.machine
            older = other.worker.life_ms < worker.life_ms
            if same and older and worker.machine:
                self.life_over(other, now_ms)

    def life_over(
        self, session: lease_sessions.LeaseSession, now_ms: int
    ) -> None:
        """Takes in that a life of a worker is over, with all it ran."""
        name = session.worker.worker
        self._state.log.info(
            "worker_life_over", worker=name, life_ms=session.worker.life_ms
        )
        if self._state.sessions.get(name) is session:
            del self._state.sessions[name]
        self._state.strangers.pop(name, None)
        self._state.health.life_over(session.worker, now_ms)
        for run, member in self._state.table.on_worker(name):
            if member.place.life_ms == session.worker.life_ms:
                self._state.member_gone(run, member)
        self._state.changed = True

    def due_holds(self, now_ms: int) -> None:
        """Sends the holds that are due.

        Load pattern: an owner takes over more than a thousand workers. Each
        step looks at those of which something was heard, and at all a few
        times a second.
        """
        sessions = self._state.sessions
        heard, self._state.heard = self._state.heard, set()
        if now_ms < self._next_scan_ms:
            due = [sessions[name] for name in heard if name in sessions]
        else:
            self._next_scan_ms = now_ms + SCAN_PERIOD_MS
            due = list(sessions.values())
            self._prime(now_ms)
        for session in due:
            session.runs = self._state.table.count_on(session.worker.worker)
            if session.primed:
                self._hold(session, now_ms)

    def _prime(self, now_ms: int) -> None:
        """Asks workers for the first time.

        Those that may hold runs come first, those that did not answer last.

        So many first calls at once would each be too late, and be repeated.
        """
        unprimed = [
            session
            for session in self._state.sessions.values()
            if not session.primed
        ]
        free = MAX_FIRST_RENEWALS - sum(session.holding for session in unprimed)
        for session in unprimed:
            name = session.worker.worker
            session.runs = self._state.table.count_on(name)
        unprimed.sort(
            key=lambda session: (session.waits_unanswered, not session.runs)
        )
        for session in unprimed:
            if free <= 0:
                return
            free -= self._hold(session, now_ms)

    def _hold(self, session: lease_sessions.LeaseSession, now_ms: int) -> bool:
        """Sends a session's hold if it is due; returns whether it was."""
        command = session.next_hold(now_ms)
        if command is not None:
            self._state.commands.append(command)
        return command is not None

    def usable(self, now_ms: int) -> list[worker_directory.Worker]:
        """Returns the workers that may get work."""
        silent_domains = self._silent_domains(now_ms)
        return [
            session.worker
            for name, session in self._state.sessions.items()
            if session.primed
            and not self._is_silent(session, now_ms)
            and session.worker.failure_domain not in silent_domains
            and not self._state.strangers.get(name)
            and self._state.suspended.get(name, 0) <= now_ms
            and self._state.directory.is_usable(session.worker)
        ]

    def _is_silent(
        self, session: lease_sessions.LeaseSession, now_ms: int
    ) -> bool:
        """Returns whether a worker should have answered by now.

        One that holds nothing is not asked, unless it did not answer before.
        """
        if session.waits_unanswered >= SHUNNED_AFTER_HOLDS:
            return True
        policy = self._state.policy
        limit_ms = policy.wait_ms + policy.retry_ms + SILENCE_MARGIN_MS
        return bool(session.runs) and session.silent_ms(now_ms) >= limit_ms

    def _silent_domains(self, now_ms: int) -> set[ids.FailureDomainId]:
        """Returns the failure domains in which no worker answers.

        Load pattern: a failure domain is cut off. Its idle workers are not
        asked anything, so the busy ones tell for them.
        """
        silent: dict[ids.FailureDomainId, list[bool]] = collections.defaultdict(
            list
        )
        for session in self._state.sessions.values():
            if session.primed and session.runs:
                domain = session.worker.failure_domain
                silent[domain].append(self._is_silent(session, now_ms))
        return {
            domain
            for domain, each in silent.items()
            if len(each) >= WITNESSES and all(each)
        }
