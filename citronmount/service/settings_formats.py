"""Named formats of text settings and their checks."""

from collections.abc import Callable

import msgspec

from citronmount.clients import addresses
from citronmount.config import names
from citronmount.core import codes

__all__ = ["expected_of", "fault_of"]

_CURVE_KEY_CHARACTERS = 40
_Z85_ALPHABET = frozenset(
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#"
)
_MAX_ID_CHARACTERS = 64
_ID_PUNCTUATION = frozenset("-_.")

Fault = tuple[codes.ResultCode, str]
Check = Callable[[str], bool]


class _Format(msgspec.Struct, frozen=True, kw_only=True):
    """The format of a text setting.

    Attributes:
        expected: A human-readable description of the format.
        code: The result code of a text that does not match the format.
        check: Returns whether a text matches the format.
    """

    expected: str
    code: codes.ResultCode
    check: Check


_FORMATS: dict[str, _Format] = {}


def _format(
    name: str,
    expected: str,
    code: codes.ResultCode = codes.ResultCode.SETTING_RANGE,
) -> Callable[[Check], Check]:
    """Registers a function as the check of a format."""

    def register(check: Check) -> Check:
        _FORMATS[name] = _Format(expected=expected, code=code, check=check)
        return check

    return register


def expected_of(name: str) -> str:
    """Returns the description of a format.

    Args:
        name: The name of the format.

    Returns:
        A human-readable description.
    """
    return _FORMATS[name].expected


def fault_of(name: str, text: str) -> Fault | None:
    """Checks a text against a format.

    Args:
        name: ``address``, ``curve_key``, ``id``, ``name`` or ``path``.
        text: The value of the setting.

    Returns:
        None if the text matches the format, otherwise a result code and the
        description of the format.

    Example:
        >>> fault_of("address", "10.0.0.1:8080") is None
        True
        >>> fault_of("address", "log.example:8080")[1]
        'an IP address and a port, such as 10.0.0.1:8080'
    """
    text_format = _FORMATS[name]
    return (
        None
        if text_format.check(text)
        else (text_format.code, text_format.expected)
    )


@_format(
    "address",
    "an IP address and a port, such as 10.0.0.1:8080",
    codes.ResultCode.SETTING_ADDRESS,
)
def _is_address(text: str) -> bool:
    return addresses.parse(text) is not None


@_format("curve_key", "a CURVE key of 40 Z85 characters")
def _is_curve_key(text: str) -> bool:
    return len(text) == _CURVE_KEY_CHARACTERS and _Z85_ALPHABET.issuperset(text)


@_format("id", "1 to 64 ASCII letters, digits, '-', '_' or '.'")
def _is_id(text: str) -> bool:
    return 1 <= len(text) <= _MAX_ID_CHARACTERS and all(
        (c.isascii() and c.isalnum()) or c in _ID_PUNCTUATION for c in text
    )


@_format("name", "1 to 64 visible characters without '/' and '#'")
def _is_name(text: str) -> bool:
    return names.is_valid(text) and names.normalize(text) == text


@_format("path", "the path of a file")
def _is_path(text: str) -> bool:
    return bool(text) and "\0" not in text
