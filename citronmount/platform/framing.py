"""Binary encoding of the records in the platform's store.

A record is the length of its content (four bytes, big-endian) followed by the
content. In the topics used here the content is the length of the key (one
byte), the key in UTF-8 and the value. A record without a value deletes its key.
"""

from collections.abc import Sequence
import struct

from citronmount.core import codes
from citronmount.fleet_service import ports

__all__ = ["decode_page", "encode", "unreadable"]

_LENGTH_PREFIX = struct.Struct(">I")
_PAGE_HEADER = struct.Struct(">QQ")


def unreadable(what: str, error: Exception) -> ports.UnknownOutcomeError:
    """Returns the error to raise for an answer that cannot be decoded."""
    return ports.UnknownOutcomeError(
        f"unreadable {what}: {error}", code=codes.ResultCode.UNREACHABLE
    )


def encode(records: Sequence[tuple[str, bytes | None]]) -> bytes:
    """Encodes pairs of key and value for an append; None deletes the key."""
    return b"".join(_encode_record(key, value) for key, value in records)


def _encode_record(key: str, value: bytes | None) -> bytes:
    key_bytes = key.encode("utf-8")
    content = bytes([len(key_bytes)]) + key_bytes + (value or b"")
    return _LENGTH_PREFIX.pack(len(content)) + content


def decode_page(
    body: bytes, first_offset: int, transfer_ms: int = 0
) -> ports.LogPage:
    """Decodes the response to a read from `first_offset` on.

    The body is the topic's end offset and first retained offset (eight bytes
    each, big-endian), then the records. A truncated one is `unreadable`.
    """
    try:
        end_offset, _ = _PAGE_HEADER.unpack_from(body)
        records = _decode_records(body, first_offset)
    except (struct.error, IndexError) as error:
        raise unreadable(f"page from offset {first_offset}", error) from error
    return ports.LogPage(
        records=tuple(records),
        next_offset=first_offset + len(records),
        end_offset=end_offset,
        size_bytes=len(body),
        transfer_ms=transfer_ms,
    )


def _decode_records(body: bytes, first_offset: int) -> list[ports.LogRecord]:
    records = []
    position = _PAGE_HEADER.size
    while position < len(body):
        (length,) = _LENGTH_PREFIX.unpack_from(body, position)
        start = position + _LENGTH_PREFIX.size
        position = start + length
        if position > len(body):
            raise IndexError(
                f"record truncated: got {len(body) - start} of {length} bytes"
            )
        records.append(
            _decode_record(body[start:position], first_offset + len(records))
        )
    return records


def _decode_record(content: bytes, offset: int) -> ports.LogRecord:
    value_start = content[0] + 1 if content else 0
    key = content[1:value_start].decode("utf-8", "replace")
    return ports.LogRecord(
        key=key, value=content[value_start:] or None, offset=offset
    )
