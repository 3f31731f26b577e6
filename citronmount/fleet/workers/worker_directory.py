"""Directory of the workers of a pool and their published state."""

from collections.abc import Iterator
import enum

import msgspec

from citronmount.core import ids
from citronmount.workflow import spec

__all__ = ["MachineId", "Worker", "WorkerDirectory", "WorkerState"]

MachineId = str

MAX_REMEMBERED_ENTRIES = 1_000


class WorkerState(enum.Enum):
    """State that a worker publishes of itself."""

    READY = "ready"
    DRAINING = "draining"


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """Directory entry of one incarnation of a worker.

    Attributes:
        worker: Worker id; a later incarnation may have the same id.
        life_ms: Unix time in milliseconds at which the incarnation started.
        machine: The machine that the worker runs on, or empty if unknown.
        address: ``ip:port`` that accepts commands.
        failure_domain: Failure domain of the worker.
        service: Service that the worker belongs to.
        state: Published state; only a READY worker receives new tasks.
        capacity: Total resources of the worker.
        labels: Labels that a step can require.
        rack: Rack of the worker.
        remaining_ms: Minimum time in milliseconds until a draining worker
            leaves, or None if it published none.
    """

    worker: ids.WorkerId
    life_ms: int
    machine: MachineId
    address: str
    failure_domain: ids.FailureDomainId
    service: spec.ServiceName
    state: WorkerState
    capacity: spec.Demand
    labels: frozenset[str]
    rack: ids.RackId
    remaining_ms: int | None = None

    @property
    def speed_key(self) -> MachineId:
        """Key of the speed estimate: the machine or, if unknown, the worker id.

        A machine keeps its estimate when a worker on it restarts, even under
        another worker id.
        """
        return self.machine or self.worker


class WorkerDirectory:
    """Newest entry of each worker, and the failure domains out of service.

    Attributes:
        version: Increases with each change of an entry.
    """

    def __init__(self) -> None:
        """Initializes an empty directory."""
        self.version = 0
        self._workers: dict[ids.WorkerId, Worker] = {}
        # Also of workers whose entry was removed, the latest ones.
        self._last_entries: dict[ids.WorkerId, Worker] = {}
        self._domains_out_of_service: set[ids.FailureDomainId] = set()

    def __iter__(self) -> Iterator[Worker]:
        """Iterates over the entries of all workers."""
        return iter(self._workers.values())

    def newest_incarnations(self) -> list[Worker]:
        """Returns the entry of the newest incarnation on each machine.

        A worker that restarts under another id leaves its former entry behind
        until that entry expires.
        """
        newest: dict[MachineId, Worker] = {}
        for worker in self._workers.values():
            machine = worker.machine or worker.worker
            known = newest.get(machine)
            if known is None or known.life_ms < worker.life_ms:
                newest[machine] = worker
        return list(newest.values())

    def last_entry(self, worker: ids.WorkerId) -> Worker | None:
        """Returns the last entry of a worker, which may have been removed.

        Of workers without an entry, only the latest are remembered.
        """
        return self._workers.get(worker) or self._last_entries.get(worker)

    def get(self, worker: ids.WorkerId) -> Worker | None:
        """Returns the entry of a worker, or None if it has none."""
        return self._workers.get(worker)

    def put(self, worker: Worker) -> None:
        """Adds or replaces the entry of a worker."""
        self._workers[worker.worker] = worker
        self._remember(worker)
        self.version += 1

    def remove(self, worker: ids.WorkerId) -> None:
        """Removes the entry of a worker."""
        self._workers.pop(worker, None)
        self.version += 1

    def replace(self, workers: tuple[Worker, ...]) -> None:
        """Replaces all entries."""
        self._workers = {worker.worker: worker for worker in workers}
        for worker in workers:
            self._remember(worker)
        self.version += 1

    def _remember(self, worker: Worker) -> None:
        self._last_entries.pop(worker.worker, None)
        self._last_entries[worker.worker] = worker
        if len(self._last_entries) > MAX_REMEMBERED_ENTRIES:
            del self._last_entries[next(iter(self._last_entries))]

    def set_domain_out_of_service(
        self, domain: ids.FailureDomainId, out: bool
    ) -> None:
        """Takes a failure domain out of service or returns it to service."""
        (
            self._domains_out_of_service.add
            if out
            else self._domains_out_of_service.discard
        )(domain)

    def clear_domains_out_of_service(self) -> None:
        """Returns all failure domains to service."""
        self._domains_out_of_service.clear()

    def is_usable(self, worker: Worker) -> bool:
        """Returns whether an incarnation may receive new tasks.

        It must be the current entry, ready and in a failure domain in service.
        """
        is_current = self._workers.get(worker.worker) is worker
        return is_current and self.accepts_tasks(worker)

    def accepts_tasks(self, worker: Worker) -> bool:
        """Returns whether a worker is ready and its domain in service.

        An entry may be missing for a while, for example after an outage of the
        log; a start that was decided on before does not depend on it.
        """
        return (
            worker.state is WorkerState.READY
            and worker.failure_domain not in self._domains_out_of_service
        )
