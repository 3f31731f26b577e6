"""Decodes the settings file that the platform writes for a VM."""

import pathlib

import msgspec

from citronmount.core import codes
from citronmount.core import errors
from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import vm_settings

__all__ = ["SETTINGS_VARIABLE", "decode", "load"]

SETTINGS_VARIABLE = "CITRONMOUNT_SETTINGS"


class _Addresses(msgspec.Struct):
    frontend: str
    ready: str


class _Limits(msgspec.Struct):
    """`cpu_quota` is the share of `cores` that the VM may use."""

    cpu_quota: float = 1.0
    cores: float = 1.0


class _Bounds(msgspec.Struct):
    """See `fleet_configuration.Bounds`.

    `grace_s` is the time in seconds between SIGTERM and SIGKILL.
    """

    hold_max_ms: int = 6_000
    stop_ms: int = 400
    status_s: int = 120
    reclaim_ms: int = 2_900
    far_factor: float = 3.0
    save_s: float = 1.0
    grace_s: float = 6.0


class _Platform(msgspec.Struct):
    address: str


class _File(msgspec.Struct):
    node_name: str
    ip: str
    zone: str
    listen_addrs: _Addresses
    platform: _Platform
    advice: str = ""
    port_range: tuple[int, int] = (7_000, 7_015)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def decode(data: bytes) -> vm_settings.VmSettings:
    """Decodes a settings file, TOML text in UTF-8; ignores unknown fields.

    Raises:
        SettingsError: Invalid TOML, or a field is missing or has a wrong type.
    """
    try:
        file = msgspec.toml.decode(data, type=_File)
    except errors.DECODING_ERRORS as error:
        raise vm_settings.SettingsError(
            str(error), code=codes.ResultCode.INVALID_REQUEST
        ) from error
    return vm_settings.VmSettings(
        vm=ids.VmId(file.node_name),
        failure_domain=ids.FailureDomainId(file.zone),
        caller_address=file.listen_addrs.frontend,
        ready_address=file.listen_addrs.ready,
        metrics_address=f"{file.ip}:{file.port_range[0]}",
        log_address=file.platform.address,
        advice_address=file.advice,
        processor_share=file.limits.cpu_quota * file.limits.cores,
        stop_grace_s=file.bounds.grace_s,
        bounds=fleet_configuration.Bounds(
            max_lease_ms=file.bounds.hold_max_ms,
            stop_ms=file.bounds.stop_ms,
            status_s=file.bounds.status_s,
            reclaim_ms=file.bounds.reclaim_ms,
            spread_factor=file.bounds.far_factor,
            save_s=file.bounds.save_s,
        ),
    )


def load(path: str) -> vm_settings.VmSettings:
    """Reads and decodes a settings file.

    Raises:
        SettingsError: The file cannot be read or decoded.
    """
    try:
        data = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise vm_settings.SettingsError(
            str(error), code=codes.ResultCode.INVALID_REQUEST
        ) from error
    return decode(data)
