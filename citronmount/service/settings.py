"""The settings of a daemon, read from TOML."""

import enum
import os
from typing import Annotated

import msgspec

from citronmount.core import ids
from citronmount.service import settings_faults
from citronmount.service import settings_reader
from citronmount.service import settings_rules

__all__ = [
    "CurveSettings",
    "LimitSettings",
    "ListenSettings",
    "LogLevel",
    "LoggingSettings",
    "PlatformSettings",
    "RetentionSettings",
    "Settings",
    "TimingSettings",
    "VmSettings",
    "check",
    "load",
]

_MAX_MS = 86_400_000
_MAX_RETENTION_MS = 366 * _MAX_MS
_MAX_COUNT = 10_000_000

Id = Annotated[str, msgspec.Meta(extra={"format": "id"})]
Name = Annotated[str, msgspec.Meta(extra={"format": "name"})]
Address = Annotated[str, msgspec.Meta(extra={"format": "address"})]
CurveKey = Annotated[str, msgspec.Meta(extra={"format": "curve_key"})]
Path = Annotated[str, msgspec.Meta(extra={"format": "path"})]
PeriodMs = Annotated[int, msgspec.Meta(ge=1, le=_MAX_MS)]
RetentionMs = Annotated[int, msgspec.Meta(ge=1, le=_MAX_RETENTION_MS)]
Bytes = Annotated[int, msgspec.Meta(ge=1_024, le=1 << 30)]
Count = Annotated[int, msgspec.Meta(ge=1, le=_MAX_COUNT)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]


class LogLevel(enum.Enum):
    """The least important log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class VmSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Which VM this is.

    Attributes:
        id: The VM.
        failure_domain: Where it is.
        region: The region of the failure domain.
    """

    id: Id
    failure_domain: Name
    region: Name

    @property
    def vm_id(self) -> ids.VmId:
        """The VM as a typed id."""
        return ids.VmId(self.id)

    @property
    def failure_domain_id(self) -> ids.FailureDomainId:
        """The failure domain as a typed id."""
        return ids.FailureDomainId(self.failure_domain)


class ListenSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the daemon listens.

    Attributes:
        caller_address: ``ip:port`` of the HTTP API.
        peer_address: ``ip:port`` of the socket for other VMs.
        tls_certificate_path: PEM file of the API's certificate, if any.
        tls_key_path: PEM file of the certificate's key, if any.
    """

    caller_address: Address
    peer_address: Address
    tls_certificate_path: Path | None = None
    tls_key_path: Path | None = None


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where the platform's services listen.

    Attributes:
        log_address: ``ip:port`` of the log service.
        vm_list_address: ``ip:port`` of the list of VMs and targets.
    """

    log_address: Address
    vm_list_address: Address


class CurveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Keys that authenticate and encrypt the sockets between VMs.

    Attributes:
        enabled: Whether CURVE is used; off only in tests.
        public_key: The VM's own public key, if enabled.
        secret_key: The VM's own secret key, if enabled.
        allowed_public_keys: Public keys of the peers that may connect.
    """

    enabled: bool = True
    public_key: CurveKey | None = None
    secret_key: CurveKey | None = None
    allowed_public_keys: tuple[CurveKey, ...] = ()

    def __repr__(self) -> str:
        """Returns a text that keeps the secret key out of logs."""
        return f"CurveSettings(enabled={self.enabled})"


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on what callers may send.

    Attributes:
        max_body_bytes: The longest body of a request.
        requests_per_second_per_account: Sustained rate of one account.
        burst_requests_per_account: Requests that may come at once.
        max_timeline_events: Events of the time line kept in memory.
    """

    max_body_bytes: Bytes = 8_388_608
    requests_per_second_per_account: Rate = 500.0
    burst_requests_per_account: Count = 1_000
    max_timeline_events: Count = 20_000


class TimingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Periods and lifetimes.

    Attributes:
        tick_ms: Period of the agent's tick.
        heartbeat_ms: Period of heartbeats between VMs.
        suspicion_ms: Silence after which a VM counts as dead.
        lease_ttl_ms: Lifetime of a running lease without renewal.
        renew_period_ms: Period of lease renewal.
        reservation_ttl_ms: Lifetime of a reservation.
        config_poll_ms: Period of reading the configuration stream.
        reclaim_grace_ms: How long evicted tasks may save their work.
    """

    tick_ms: PeriodMs = 250
    heartbeat_ms: PeriodMs = 1_000
    suspicion_ms: PeriodMs = 3_000
    lease_ttl_ms: PeriodMs = 10_000
    renew_period_ms: PeriodMs = 3_000
    reservation_ttl_ms: PeriodMs = 2_000
    config_poll_ms: PeriodMs = 2_000
    reclaim_grace_ms: PeriodMs = 5_000


class LoggingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Where log lines go.

    Attributes:
        level: The least important lines that are written.
        file_path: The log file; standard output if absent.
    """

    level: LogLevel = LogLevel.INFO
    file_path: Path | None = None


class RetentionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """How long records can be relied on.

    Attributes:
        log_retention_ms: How long the log service keeps a record.
        key_lifetime_ms: How long an idempotency key is remembered.
    """

    log_retention_ms: RetentionMs = 86_400_000
    key_lifetime_ms: RetentionMs = 43_200_000


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a daemon, one section each.

    Attributes:
        vm: Which VM this is.
        listen: Where it listens.
        platform: Where the platform listens.
        curve: Keys between VMs.
        limits: Bounds on callers.
        timing: Periods and lifetimes.
        logging: Where log lines go.
        retention: How long records can be relied on.
    """

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    curve: CurveSettings = CurveSettings()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    logging: LoggingSettings = LoggingSettings()
    retention: RetentionSettings = RetentionSettings()


def check(
    path: str | os.PathLike[str],
) -> tuple[settings_faults.SettingFault, ...]:
    """Returns every fault of a settings file.

    Args:
        path: The TOML file.

    Returns:
        The faults, sorted by key; empty if a daemon can start from the file.
    """
    return _read(path)[1]


def load(path: str | os.PathLike[str]) -> Settings:
    """Loads the settings of a daemon.

    Args:
        path: The TOML file.

    Returns:
        The settings, checked.

    Raises:
        ExceptionGroup: Of `settings_faults.SettingError`, one a fault.
    """
    settings, faults = _read(path)
    if settings is None or faults:
        raise ExceptionGroup(
            f"{os.fspath(path)}: {len(faults)} faults",
            [settings_faults.SettingError(fault) for fault in faults],
        )
    return settings


def _read(
    path: str | os.PathLike[str],
) -> tuple[Settings | None, tuple[settings_faults.SettingFault, ...]]:
    settings, faults = settings_reader.read(path, Settings)
    if settings is None:
        return None, faults
    return settings, settings_rules.faults_of(settings, os.fspath(path))
