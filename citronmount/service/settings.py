"""The settings of a daemon, read from a TOML file."""

import enum
from typing import Annotated

import msgspec

from citronmount.core import ids

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
    """The lowest severity of log lines that are written."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class VmSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Which VM this is.

    Attributes:
        id: The id of the VM.
        failure_domain: The failure domain of the VM.
        region: The region of the failure domain.
    """

    id: Id
    failure_domain: Name
    region: Name

    @property
    def vm_id(self) -> ids.VmId:
        """The id of the VM as `ids.VmId`."""
        return ids.VmId(self.id)

    @property
    def failure_domain_id(self) -> ids.FailureDomainId:
        """The failure domain as `ids.FailureDomainId`."""
        return ids.FailureDomainId(self.failure_domain)


class ListenSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The addresses at which the daemon listens.

    Attributes:
        caller_address: ``ip:port`` of the HTTP API.
        peer_address: ``ip:port`` of the socket for other VMs.
        tls_certificate_path: PEM file with the certificate of the API, or
            None for plain HTTP.
        tls_key_path: PEM file with the private key of the certificate, or
            None for plain HTTP.
    """

    caller_address: Address
    peer_address: Address
    tls_certificate_path: Path | None = None
    tls_key_path: Path | None = None


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True):
    """The addresses of the platform's services.

    Attributes:
        log_address: ``ip:port`` of the log service.
        vm_list_address: ``ip:port`` of the list of VMs and targets.
    """

    log_address: Address
    vm_list_address: Address


class CurveSettings(msgspec.Struct, frozen=True, kw_only=True):
    """ZeroMQ CURVE keys that secure the sockets between VMs.

    Attributes:
        enabled: Whether CURVE authenticates and encrypts the connections;
            disable it only in tests.
        public_key: The VM's own public key; required if enabled.
        secret_key: The VM's own secret key; required if enabled.
        allowed_public_keys: Public keys of the peers that may connect;
            required if enabled.
    """

    enabled: bool = True
    public_key: CurveKey | None = None
    secret_key: CurveKey | None = None
    allowed_public_keys: tuple[CurveKey, ...] = ()

    def __repr__(self) -> str:
        """Returns a text without the secret key, which must not be logged."""
        return f"CurveSettings(enabled={self.enabled})"


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on requests and on memory.

    Attributes:
        max_body_bytes: The largest request body.
        requests_per_second_per_account: The sustained request rate of one
            account.
        burst_requests_per_account: The number of requests that one account
            may send at once.
        max_timeline_events: The number of timeline events kept in memory.
    """

    max_body_bytes: Bytes = 8_388_608
    requests_per_second_per_account: Rate = 500.0
    burst_requests_per_account: Count = 1_000
    max_timeline_events: Count = 20_000


class TimingSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Periods and lifetimes.

    Attributes:
        tick_ms: Period at which the agent checks its timers.
        heartbeat_ms: Period of heartbeats between VMs.
        suspicion_ms: Time without a heartbeat after which a VM is considered
            dead.
        lease_ttl_ms: Lifetime of a running lease that is not renewed.
        renew_period_ms: Period of lease renewal.
        reservation_ttl_ms: Lifetime of a reservation on a worker, within which
            the attempt must start.
        config_poll_ms: Period of polling the configuration stream.
        reclaim_grace_ms: Time that evicted tasks have to save their work.
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
    """The level and the destination of log lines.

    Attributes:
        level: The lowest severity of lines that are written.
        file_path: The log file, or None for standard output.
    """

    level: LogLevel = LogLevel.INFO
    file_path: Path | None = None


class RetentionSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Retention periods.

    Attributes:
        log_retention_ms: How long the log service retains a record.
        key_lifetime_ms: How long an idempotency key is remembered.
    """

    log_retention_ms: RetentionMs = 86_400_000
    key_lifetime_ms: RetentionMs = 43_200_000


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """All settings of a daemon; each field is a section of the file.

    Attributes:
        vm: Which VM this is.
        listen: The addresses at which the daemon listens.
        platform: The addresses of the platform's services.
        curve: Keys of the sockets between VMs.
        limits: Limits on requests and on memory.
        timing: Periods and lifetimes.
        logging: The level and the destination of log lines.
        retention: Retention periods.
    """

    vm: VmSettings
    listen: ListenSettings
    platform: PlatformSettings
    curve: CurveSettings = CurveSettings()
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    logging: LoggingSettings = LoggingSettings()
    retention: RetentionSettings = RetentionSettings()
