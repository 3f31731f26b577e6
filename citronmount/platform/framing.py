"""Records of the log service as bytes.

A record is a length of four bytes (big-endian) and its content. In the topics
used here the content is the length of the key (one byte), the key, and the
value; a record without a value removes its key.
"""

from collections.abc import Sequence
import struct

from citronmount.core import errors
from citronmount.fleet_service import ports

__all__ = ["BadPageError", "decode_page", "encode"]

_LENGTH = struct.Struct(">I")
_OFFSETS = struct.Struct(">QQ")


class BadPageError(errors.InvalidInputError):
    """Bytes of the log service that are no page of records."""


def encode(records: Sequence[tuple[str, bytes | None]]) -> bytes:
    """Encodes records for an append.

    Args:
        records: Pairs of key and value; a value of None removes the key.

    Returns:
        The body of the append.
    """
    return b"".join(_framed(key, value) for key, value in records)


def _framed(key: str, value: bytes | None) -> bytes:
    name = key.encode("utf-8")
    content = bytes([len(name)]) + name + (value or b"")
    return _LENGTH.pack(len(content)) + content


def decode_page(body: bytes, first: int) -> ports.LogPage:
    """Decodes the answer to a read.

    Args:
        body: The bytes: the end and the first kept offset, then records.
        first: The offset that was asked for.

    Returns:
        The page.

    Raises:
        BadPageError: The bytes are cut short.
    """
    try:
        end, _ = _OFFSETS.unpack_from(body)
        records = _decode_records(body, first)
    except (struct.error, IndexError) as error:
        raise BadPageError(f"page from {first}: {error}") from error
    return ports.LogPage(
        records=tuple(records),
        next_offset=first + len(records),
        end_offset=end,
    )


def _decode_records(body: bytes, first: int) -> list[ports.LogRecord]:
    records = []
    position = _OFFSETS.size
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        start = position + _LENGTH.size
        position = start + length
        if position > len(body):
            raise IndexError("a record is cut short")
        records.append(_record(body[start:position], first + len(records)))
    return records


def _record(content: bytes, offset: int) -> ports.LogRecord:
    size = content[0] + 1 if content else 0
    key = content[1:size].decode("utf-8", "replace")
    return ports.LogRecord(key=key, value=content[size:] or None, offset=offset)
