"""Validation rules across settings and against the file system."""

from collections.abc import Callable
from collections.abc import Iterator
import os

import zmq

from citronmount.clients import addresses
from citronmount.core import codes
from citronmount.service import settings as settings_lib
from citronmount.service import settings_faults

__all__ = ["faults_of"]

# Dotted key, result code and description of the expected value.
FaultRow = tuple[str, codes.ResultCode, str]
Rule = Callable[[settings_lib.Settings], Iterator[FaultRow]]

_FILE = codes.ResultCode.SETTING_FILE
_MISSING = codes.ResultCode.SETTING_MISSING
_RANGE = codes.ResultCode.SETTING_RANGE

_RULES: list[Rule] = []


def _rule(rule: Rule) -> Rule:
    """Registers a rule."""
    _RULES.append(rule)
    return rule


def faults_of(
    settings: settings_lib.Settings, file: str
) -> tuple[settings_faults.SettingFault, ...]:
    """Returns the faults of settings that are each valid by themselves.

    Args:
        settings: The settings.
        file: The file from which they were read.

    Returns:
        The faults, sorted by key.
    """
    rows = [row for rule in _RULES for row in rule(settings)]
    return tuple(
        settings_faults.SettingFault(
            file=file, key=key, code=code, expected=expected
        )
        for key, code, expected in sorted(rows)
    )


@_rule
def _ports_differ(settings: settings_lib.Settings) -> Iterator[FaultRow]:
    caller = addresses.parse(settings.listen.caller_address)
    peer = addresses.parse(settings.listen.peer_address)
    same_host = (
        caller[0] == peer[0]
        or caller[0].is_unspecified
        or peer[0].is_unspecified
    )
    if same_host and caller[1] == peer[1]:
        expected = "a port that differs from that of listen.caller_address"
        yield "listen.peer_address", _RANGE, expected


@_rule
def _tls_files_are_both_set(
    settings: settings_lib.Settings,
) -> Iterator[FaultRow]:
    listen = settings.listen
    if listen.tls_certificate_path and not listen.tls_key_path:
        yield (
            "listen.tls_key_path",
            _MISSING,
            "the private key of listen.tls_certificate_path",
        )
    if listen.tls_key_path and not listen.tls_certificate_path:
        expected = "the certificate of listen.tls_key_path"
        yield "listen.tls_certificate_path", _MISSING, expected


@_rule
def _files_are_accessible(
    settings: settings_lib.Settings,
) -> Iterator[FaultRow]:
    for name in ("tls_certificate_path", "tls_key_path"):
        path = getattr(settings.listen, name)
        if path is not None and not os.access(path, os.R_OK):
            yield f"listen.{name}", _FILE, "a file that can be read"
    log_path = settings.logging.file_path
    if log_path is not None and not _is_writable(log_path):
        yield "logging.file_path", _FILE, "a file that can be written"


def _is_writable(path: str) -> bool:
    if os.path.exists(path):
        return os.path.isfile(path) and os.access(path, os.W_OK)
    return os.access(os.path.dirname(path) or ".", os.W_OK)


@_rule
def _curve_keys_are_set(settings: settings_lib.Settings) -> Iterator[FaultRow]:
    curve = settings.curve
    if not curve.enabled:
        return
    for name in ("public_key", "secret_key", "allowed_public_keys"):
        if not getattr(curve, name):
            expected = "a value, unless curve.enabled is false"
            yield f"curve.{name}", _MISSING, expected


@_rule
def _curve_keys_match(settings: settings_lib.Settings) -> Iterator[FaultRow]:
    curve = settings.curve
    if not (curve.enabled and curve.public_key and curve.secret_key):
        return
    try:
        derived = zmq.curve_public(curve.secret_key.encode()).decode()
    except (zmq.ZMQError, ValueError):
        yield "curve.secret_key", _RANGE, "a valid CURVE secret key"
        return
    if derived != curve.public_key:
        expected = "the public key that belongs to curve.secret_key"
        yield "curve.public_key", _RANGE, expected


# Section, longer period, shorter period.
_ORDERED_PERIODS = (
    ("timing", "suspicion_ms", "heartbeat_ms"),
    ("timing", "lease_ttl_ms", "renew_period_ms"),
    ("timing", "renew_period_ms", "tick_ms"),
    ("timing", "reservation_ttl_ms", "tick_ms"),
    ("timing", "heartbeat_ms", "tick_ms"),
    ("retention", "log_retention_ms", "key_lifetime_ms"),
)


@_rule
def _periods_are_ordered(settings: settings_lib.Settings) -> Iterator[FaultRow]:
    for section, longer, shorter in _ORDERED_PERIODS:
        periods = getattr(settings, section)
        if getattr(periods, longer) <= getattr(periods, shorter):
            expected = f"more than {section}.{shorter}"
            yield f"{section}.{longer}", _RANGE, expected
