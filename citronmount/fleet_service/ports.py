"""What the front and the owner need of a site: its log and its workers."""

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
from citronmount.fleet import worker_directory

__all__ = [
    "ConfigurationChanged",
    "DomainServiceChanged",
    "FencedError",
    "LogTruncatedError",
    "Log",
    "LogEvent",
    "LogRecord",
    "Membership",
    "CallRefusedError",
    "LogPage",
    "Snapshot",
    "Topic",
    "UnknownOutcomeError",
    "WorkerChanged",
    "WorkerCommands",
]


class Topic(enum.Enum):
    """The topics that are read."""

    JOBS = "jobs"
    CONFIGURATION = "configuration"
    WORKERS = "workers"


class CallRefusedError(errors.UnreachableError):
    """The log refused a call, which therefore had no effect."""


class UnknownOutcomeError(errors.UnreachableError):
    """A call got no answer and may have had its effect."""


class FencedError(errors.CitronmountError):
    """The log has seen a newer owner.

    Attributes:
        epoch: The newest epoch that the log has seen, or None if not told.
    """

    def __init__(self, epoch: int | None) -> None:
        """Initializes the error.

        Args:
            epoch: The newest epoch that the log has seen, if told.
        """
        super().__init__(f"fenced by epoch {epoch}")
        self.epoch = epoch


class LogTruncatedError(errors.CitronmountError):
    """The log no longer has the records that a reader wants."""

    def __init__(self) -> None:
        """Initializes the error."""
        super().__init__(
            "records expired before they were read",
            code=codes.ResultCode.NOT_DURABLE,
        )


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A record as it lies in a topic.

    Attributes:
        key: Its key.
        value: Its bytes, or None if it removes the key.
        offset: Where it lies.
    """

    key: str
    value: bytes | None
    offset: int


class LogPage(msgspec.Struct, frozen=True, kw_only=True):
    """Records from one offset on.

    Attributes:
        records: The records.
        next_offset: Where to read on.
        end_offset: Where the topic ended.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    end_offset: int


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The newest record of each key.

    Attributes:
        records: The records, by offset.
        end_offset: Where the topic ended before the first was read; reading on
            from here misses nothing.
    """

    records: tuple[LogRecord, ...]
    end_offset: int


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """What a group member was dealt.

    Attributes:
        generation: Rises with each change of the group.
        candidate: Whether the member is next to own the pool.
        dealt: Whether the member was dealt anything.
    """

    generation: int
    candidate: bool
    dealt: bool = True


class ConfigurationChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Operators published a version.

    Attributes:
        configuration: The version.
    """

    configuration: fleet_configuration.FleetConfiguration


class DomainServiceChanged(msgspec.Struct, frozen=True, kw_only=True):
    """Operators took a failure domain out of service or back.

    Attributes:
        domain: The failure domain.
        out: Whether it is out of service.
    """

    domain: ids.FailureDomainId
    out: bool


class WorkerChanged(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's entry changed.

    Attributes:
        worker: The worker.
        entry: Its entry, or None if it has no usable one any more.
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
        """Makes further calls go to another address."""

    def append(
        self, records: Sequence[tuple[str, bytes | None]], timeout_ms: int
    ) -> defer.Deferred[int]:
        """Appends to the job topic; fires with the first offset."""

    def append_as_owner(
        self,
        records: Sequence[tuple[str, bytes | None]],
        epoch: int,
        sequence: int,
        timeout_ms: int,
    ) -> defer.Deferred[int]:
        """Appends to the job topic unless a newer epoch was seen.

        The first append of an epoch, with sequence number 0, raises it. A
        repeat of an epoch and sequence number appends nothing and fires with
        the offset of the first append.
        """

    def read(
        self, topic: Topic, offset: int, wait_ms: int, timeout_ms: int
    ) -> defer.Deferred[LogPage]:
        """Reads records, waiting for the first if there is none yet."""

    def snapshot(
        self, topic: Topic, timeout_ms: int
    ) -> defer.Deferred[Snapshot]:
        """Reads the newest record of each key."""

    def join(
        self, generation: int, ttl_ms: int, timeout_ms: int
    ) -> defer.Deferred[Membership]:
        """Joins the owners' group or stays in it."""

    def members(self, timeout_ms: int) -> defer.Deferred[frozenset[str]]:
        """Tells which members of the owners' group were dealt anything."""

    def leave(self, timeout_ms: int) -> defer.Deferred[None]:
        """Leaves the owners' group."""


class WorkerCommands(typing.Protocol):
    """The orders that workers take. No call fails; silence is a verdict."""

    def start(
        self, command: commands.Start, timeout_ms: int
    ) -> defer.Deferred[tuple[commands.StartOutcome, int | None]]:
        """Starts a task; fires with the verdict and the worker's clock."""

    def stop(
        self, command: commands.Stop, timeout_ms: int
    ) -> defer.Deferred[tuple[commands.StopOutcome, int | None]]:
        """Stops a run; fires with the verdict and the worker's clock."""

    def request_advice(
        self, advice_request: commands.RequestAdvice, timeout_ms: int
    ) -> defer.Deferred[commands.AdviceAnswer | None]:
        """Asks a queue's policy; fires with None if it does not answer."""

    def renew_leases(
        self, command: commands.RenewLeases, timeout_ms: int
    ) -> defer.Deferred[commands.LeaseReport | commands.StopOutcome]:
        """Renews leases; fires with the report or why there is none."""
