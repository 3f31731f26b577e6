"""Paths and bodies of the HTTP protocol of the platform and the targets."""

import typing

import msgspec

from citronmount.core import ids

__all__ = [
    "ACTS_PATH",
    "CONTENT_TYPE",
    "PLATFORM_PATH",
    "REQUESTS_PATH",
    "AppendAnswer",
    "AppendRequest",
    "decode",
    "encode",
    "records_path",
]

CONTENT_TYPE = "application/msgpack"
ACTS_PATH = "/acts"
PLATFORM_PATH = "/platform"
REQUESTS_PATH = "/requests"

_Body = typing.TypeVar("_Body", bound=msgspec.Struct)
_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[type, msgspec.msgpack.Decoder] = {}


class AppendRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The body of an append to a stream.

    Attributes:
        records: Pairs of record id and encoded record.
    """

    records: tuple[tuple[ids.RecordId, bytes], ...]


class AppendAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to an append.

    Attributes:
        offset: The offset of the first record.
    """

    offset: ids.Offset


def records_path(stream: ids.StreamName) -> str:
    """Returns the path of a stream's records.

    Args:
        stream: The stream.

    Returns:
        The path, for example ``/streams/config/records``.
    """
    return f"/streams/{stream}/records"


def encode(body: msgspec.Struct) -> bytes:
    """Encodes a body.

    Args:
        body: Any message of the protocol.

    Returns:
        MessagePack bytes.
    """
    return _ENCODER.encode(body)


def decode(data: bytes, kind: type[_Body]) -> _Body:
    """Decodes a body.

    Args:
        data: Bytes made by `encode`.
        kind: The type expected.

    Returns:
        The body.

    Raises:
        msgspec.DecodeError: The bytes are not such a body.
    """
    decoder = _DECODERS.get(kind)
    if decoder is None:
        decoder = _DECODERS[kind] = msgspec.msgpack.Decoder(kind)
    return decoder.decode(data)
