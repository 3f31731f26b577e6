"""The interfaces to a site's log and workers, with their errors and events."""

from collections.abc import Sequence
import enum
import typing

import msgspec
from twisted.internet import defer

from citronmount.core import codes
from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import fleet_configuration
from citronmount.fleet.workers import worker_directory

__all__ = [
    "CallRefusedError",
    "ConfigurationChanged",
    "DomainServiceChanged",
    "FencedError",
    "Log",
    "LogEvent",
    "LogPage",
    "LogRecord",
    "LogTruncatedError",
    "Membership",
    "Snapshot",
    "Topic",
    "UnknownOutcomeError",
    "WorkerChanged",
    "WorkerCommands",
]


class Topic(enum.Enum):
    """The topics of the log that a VM reads."""

    JOBS = "jobs"
    CONFIGURATION = "configuration"
    WORKERS = "workers"


class CallRefusedError(errors.UnreachableError):
    """The log rejected a call, which therefore had no effect."""


class UnknownOutcomeError(errors.UnreachableError):
    """A call got no answer, so it may or may not have had its effect."""


class FencedError(errors.CitronmountError):
    """The log has seen an epoch newer than the caller's.

    Attributes:
        epoch: The newest epoch that the log has seen, or None if unknown.
    """

    def __init__(self, epoch: int | None) -> None:
        """Initializes the error.

        Args:
            epoch: The newest epoch that the log has seen, or None if unknown.
        """
        super().__init__(f"fenced by another owner, epoch {epoch}")
        self.epoch = epoch


class LogTruncatedError(errors.CitronmountError):
    """The records at the reader's offset have expired."""

    def __init__(self) -> None:
        """Initializes the error."""
        super().__init__(
            "records expired before they were read",
            code=codes.ResultCode.NOT_DURABLE,
        )


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record of a topic.

    Attributes:
        key: The key.
        value: The encoded value, or None if the record deletes the key.
        offset: The offset in the topic.
    """

    key: str
    value: bytes | None
    offset: int


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Consecutive records of a topic.

    Attributes:
        records: The records, sorted by offset.
        next_offset: The offset at which the next read starts.
        end_offset: The end of the topic at the time of the read.
        size_bytes: The size of the response that held the page.
        transfer_ms: Time from the first part of this response to the last.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int
    size_bytes: int = 0
    transfer_ms: int = 0


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The newest record of each key of a topic.

    Attributes:
        records: The records, sorted by offset.
        end_offset: The end of the topic when the log answered the first
            request of the snapshot. A reader that continues from this offset
            misses no record, but may read some again.
    """

    records: tuple[LogRecord, ...]
    end_offset: int


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """The assignment of one member of the owners' group.

    Attributes:
        generation: The generation of the group; increases with each change of
            the group.
        candidate: Whether the member was assigned the partition of the job
            topic, which makes it the next owner of the pool.
        dealt: Whether the member was assigned any partition.
    """

    generation: int
    candidate: bool
    dealt: bool = True


class ConfigurationChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Operators published a version of the configuration.

    Attributes:
        configuration: The published version.
    """

    configuration: fleet_configuration.FleetConfiguration


class DomainServiceChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Operators took a failure domain out of service or put it back.

    Attributes:
        domain: The failure domain.
        out: Whether it is out of service.
    """

    domain: ids.FailureDomainId
    out: bool


class WorkerChanged(msgspec.Struct, frozen=True, kw_only=True):
    """The directory entry of a worker changed.

    Attributes:
        worker: The worker.
        entry: The new entry, or None if the worker no longer has a valid one.
    """

    worker: ids.WorkerId
    entry: worker_directory.Worker | None


LogEvent = ConfigurationChanged | DomainServiceChanged | WorkerChanged


class Log(typing.Protocol):
    """The site's log. Calls fail with the errors of this module.

    Attributes:
        member: The name of this process in the owners' group.
    """

    member: str

    def use_address(self, address: str) -> None:
        """Sends all later calls to another address."""

    def append(
        self, records: Sequence[tuple[str, bytes | None]], timeout_ms: int
    ) -> defer.Deferred[int]:
        """Appends to the job topic; fires with the first record's offset."""

    def append_as_owner(
        self,
        records: Sequence[tuple[str, bytes | None]],
        epoch: int,
        sequence: int,
        timeout_ms: int,
    ) -> defer.Deferred[int]:
        """Appends to the job topic unless the log has seen a newer epoch.

        The first append of an epoch, with sequence number 0, raises the epoch
        of the log. Appends are idempotent: a retry with the same epoch and
        sequence number appends nothing and fires with the offset of the
        original append.
        """

    def read(
        self, topic: Topic, offset: int, wait_ms: int, timeout_ms: int
    ) -> defer.Deferred[LogPage]:
        """Reads the records from an offset on, as many as the log returns.

        If there is none yet, the log delays its answer by up to `wait_ms`. The
        call fails after `timeout_ms`, which should therefore be longer.
        """

    def snapshot(
        self, topic: Topic, timeout_ms: int
    ) -> defer.Deferred[Snapshot]:
        """Reads the newest record of each key.

        This may take several requests; `timeout_ms` applies to each of them.
        """

    def end_offset(self, topic: Topic, timeout_ms: int) -> defer.Deferred[int]:
        """Returns the offset after the last record of a topic."""

    def join(
        self, generation: int, ttl_ms: int, timeout_ms: int
    ) -> defer.Deferred[Membership]:
        """Joins the owners' group, or renews the membership in it.

        A member that has not called this for `ttl_ms` is removed from the
        group. `generation` is the one that the last call returned, or 0.
        """

    def members(self, timeout_ms: int) -> defer.Deferred[frozenset[str]]:
        """Returns the members of the owners' group that have a partition."""

    def leave(self, timeout_ms: int) -> defer.Deferred[None]:
        """Leaves the owners' group."""


class WorkerCommands(typing.Protocol):
    """The commands that workers accept.

    Calls do not fail: if a worker does not answer, the outcome says so.
    """

    def start(
        self, command: commands.Start, timeout_ms: int
    ) -> defer.Deferred[tuple[commands.StartOutcome, int | None]]:
        """Starts a task; fires with the outcome and the worker's clock in ms.

        The clock is None if the worker did not report it.
        """

    def stop(
        self, command: commands.Stop, timeout_ms: int
    ) -> defer.Deferred[tuple[commands.StopOutcome, int | None]]:
        """Stops a run; fires with the outcome and the worker's clock in ms.

        The clock is None if the worker did not report it.
        """

    def request_advice(
        self, advice_request: commands.RequestAdvice, timeout_ms: int
    ) -> defer.Deferred[commands.AdviceAnswer | None]:
        """Asks a queue's policy which workers may run a step.

        Fires with None if the policy gives no answer.
        """

    def renew_leases(
        self, command: commands.RenewLeases, timeout_ms: int
    ) -> defer.Deferred[commands.LeaseReport | commands.StopOutcome]:
        """Renews the leases of a worker's tasks and requests a report.

        Without a new end of the leases (`until_ms` is None), only a report is
        requested. The worker may delay its answer by up to the `wait_ms` of the
        command, so `timeout_ms` should be longer.

        Fires with the worker's report. If there is none, fires with FENCED if
        the worker has seen a newer fencing token, OTHER_INCARNATION if another
        incarnation answered, and UNKNOWN if there was no answer, an unexpected
        status or an unreadable report.
        """
