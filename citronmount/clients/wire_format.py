"""Paths and MessagePack bodies of the platform's and targets' HTTP APIs."""

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
    """The body of a request to append to a stream.

    Attributes:
        records: Pairs of a record id and an encoded record.
    """

    records: tuple[tuple[ids.RecordId, bytes], ...]


class AppendAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The answer to a request to append.

    Attributes:
        offset: The offset of the first appended record.
    """

    offset: ids.Offset


def records_path(stream: ids.StreamName) -> str:
    """Returns the path of a stream's records.

    Args:
        stream: The name of the stream.

    Returns:
        The path, for example ``/streams/config/records``.
    """
    return f"/streams/{stream}/records"


def encode(body: msgspec.Struct) -> bytes:
    """Encodes a body as MessagePack.

    Args:
        body: The body.

    Returns:
        The encoded body.
    """
    return _ENCODER.encode(body)


def decode(data: bytes, body_type: type[_Body]) -> _Body:
    """Decodes a MessagePack body.

    Args:
        data: The encoded body.
        body_type: The expected type of the body.

    Returns:
        The body.

    Raises:
        msgspec.DecodeError: The data is not an encoded body of this type.
    """
    decoder = _DECODERS.get(body_type)
    if decoder is None:
        decoder = _DECODERS[body_type] = msgspec.msgpack.Decoder(body_type)
    return decoder.decode(data)
