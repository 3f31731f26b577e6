"""The workers of the pool, as their entries tell."""

from collections.abc import Iterator
import enum

import msgspec

from citronmount.core import ids
from citronmount.workflow import spec

__all__ = ["MachineId", "Worker", "WorkerDirectory", "WorkerState"]

MachineId = str


class WorkerState(enum.Enum):
    """What a worker says of itself."""

    READY = "ready"
    DRAINING = "draining"


class Worker(msgspec.Struct, frozen=True, kw_only=True):
    """One life of a worker.

    Attributes:
        worker: The id; a later life may have the same.
        life_ms: Unix time at which this life began.
        machine: The machine that it runs on.
        address: ``ip:port`` for orders.
        failure_domain: Where it is.
        service: The service that it belongs to.
        state: Whether it takes new work.
        capacity: Its whole room.
        labels: What constraints may name.
        rack: Its rack.
        remaining_ms: How much longer it runs at least, while it drains.
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
        """What keeps its speed from one life to the next."""
        return self.machine or self.worker


class WorkerDirectory:
    """The newest entry of each worker and the domains out of service.

    Attributes:
        version: Rises with each change of an entry.
    """

    def __init__(self) -> None:
        """Initializes an empty directory."""
        self.version = 0
        self._workers: dict[ids.WorkerId, Worker] = {}
        self._out: set[ids.FailureDomainId] = set()

    def __iter__(self) -> Iterator[Worker]:
        """Iterates over the workers that have an entry."""
        return iter(self._workers.values())

    def newest_incarnations(self) -> list[Worker]:
        """Returns the entries but for those of a machine's older lives.

        A worker that starts again under another id leaves its former entry
        behind until that lapses.
        """
        newest: dict[MachineId, Worker] = {}
        for worker in self._workers.values():
            machine = worker.machine or worker.worker
            known = newest.get(machine)
            if known is None or known.life_ms < worker.life_ms:
                newest[machine] = worker
        return list(newest.values())

    def get(self, worker: ids.WorkerId) -> Worker | None:
        """Returns the newest entry of a worker, if it has one."""
        return self._workers.get(worker)

    def put(self, worker: Worker) -> None:
        """Takes in an entry."""
        self._workers[worker.worker] = worker
        self.version += 1

    def remove(self, worker: ids.WorkerId) -> None:
        """Takes in that a worker has no entry any more."""
        self._workers.pop(worker, None)
        self.version += 1

    def replace(self, workers: tuple[Worker, ...]) -> None:
        """Takes in all entries anew."""
        self._workers = {worker.worker: worker for worker in workers}
        self.version += 1

    def set_domain_out_of_service(
        self, domain: ids.FailureDomainId, out: bool
    ) -> None:
        """Takes a failure domain out of service or back."""
        (self._out.add if out else self._out.discard)(domain)

    def clear_domains_out_of_service(self) -> None:
        """Takes every failure domain back into service."""
        self._out.clear()

    def is_usable(self, worker: Worker) -> bool:
        """Returns whether a worker may get new work."""
        return (
            self._workers.get(worker.worker) is worker
            and worker.state is WorkerState.READY
            and worker.failure_domain not in self._out
        )
