"""Formats of text settings, checked by name."""

from collections.abc import Callable
import ipaddress

from citronmount.config import names
from citronmount.core import codes

__all__ = ["Address", "fault_of", "parse_address"]

_LAST_PORT = 65_535
_CURVE_KEY_CHARACTERS = 40
_Z85 = frozenset(
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#"
)
_MAX_ID_CHARACTERS = 64
_ID_PUNCTUATION = frozenset("-_.")

Address = tuple[ipaddress.IPv4Address | ipaddress.IPv6Address, int]
Fault = tuple[codes.ResultCode, str]
Format = Callable[[str], Fault | None]

_FORMATS: dict[str, Format] = {}


def _format(name: str) -> Callable[[Format], Format]:
    """Registers the check of a format."""

    def register(check: Format) -> Format:
        _FORMATS[name] = check
        return check

    return register


def fault_of(name: str, text: str) -> Fault | None:
    """Checks a text against a format.

    Args:
        name: ``address``, ``curve_key``, ``id``, ``name`` or ``path``.
        text: The text of the setting.

    Returns:
        None if it keeps the format, otherwise a code and what is expected.

    Example:
        >>> fault_of("address", "10.0.0.1:8080") is None
        True
        >>> fault_of("address", "log.example:8080")[1]
        'an IP number and a port, such as 10.0.0.1:8080'
    """
    return _FORMATS[name](text)


def parse_address(text: str) -> Address | None:
    """Parses an address.

    Args:
        text: ``ip:port``, with an IPv6 number in brackets.

    Returns:
        The IP number and the port, or None if malformed.

    Example:
        >>> parse_address("[::1]:8080")
        (IPv6Address('::1'), 8080)
        >>> parse_address("localhost:8080") is None
        True
    """
    host, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= 5):
        return None
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return None
    if bracketed != (ip.version == 6):
        return None
    return ip, int(port)


@_format("address")
def _address_fault(text: str) -> Fault | None:
    address = parse_address(text)
    if address is None:
        return (
            codes.ResultCode.SETTING_ADDRESS,
            "an IP number and a port, such as 10.0.0.1:8080",
        )
    if not 1 <= address[1] <= _LAST_PORT:
        return codes.ResultCode.SETTING_RANGE, "a port from 1 to 65535"
    return None


@_format("curve_key")
def _curve_key_fault(text: str) -> Fault | None:
    if len(text) == _CURVE_KEY_CHARACTERS and _Z85.issuperset(text):
        return None
    return codes.ResultCode.SETTING_RANGE, "a CURVE key of 40 Z85 characters"


@_format("id")
def _id_fault(text: str) -> Fault | None:
    valid = 1 <= len(text) <= _MAX_ID_CHARACTERS and all(
        (c.isascii() and c.isalnum()) or c in _ID_PUNCTUATION for c in text
    )
    if valid:
        return None
    return (
        codes.ResultCode.SETTING_RANGE,
        "1 to 64 ASCII letters, digits, '-', '_' or '.'",
    )


@_format("name")
def _name_fault(text: str) -> Fault | None:
    if names.is_valid(text) and names.normalize(text) == text:
        return None
    return (
        codes.ResultCode.SETTING_RANGE,
        "1 to 64 visible characters without '/' and '#'",
    )


@_format("path")
def _path_fault(text: str) -> Fault | None:
    if text and "\0" not in text:
        return None
    return codes.ResultCode.SETTING_RANGE, "a path of a file"
