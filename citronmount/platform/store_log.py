"""Client of the platform's metadata store, which holds the pool's log."""

import base64
from collections.abc import Sequence
import http
import typing
from urllib import parse

import msgspec

from citronmount.clients import call_time_limit
from citronmount.clients import http_client
from citronmount.core import codes
from citronmount.core import errors
from citronmount.fleet_service import ports
from citronmount.platform import framing

__all__ = ["JOBS_TOPIC", "TOPICS", "StoreLog"]

JOBS_TOPIC = "keyed.jobs"
PRODUCER = "owner"
OWNERS_GROUP = "owners"
MAX_READ_KB = 1_024

_PARTITION = 0
# Keys are ASCII text without this character.
_AFTER_ALL_KEYS = "~"
TOPICS = {
    ports.Topic.JOBS: JOBS_TOPIC,
    ports.Topic.CONFIGURATION: "keyed.op",
    ports.Topic.WORKERS: "keyed.servers",
}
_NO_EFFECT_STATUSES = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    http.HTTPStatus.INSUFFICIENT_STORAGE,
)

_Body = typing.TypeVar("_Body")


class _AppendResponse(msgspec.Struct):
    offset: int = 0


class _ConflictResponse(msgspec.Struct):
    epoch: int | None = None  # The expected epoch


class _NewestItem(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _NewestResponse(msgspec.Struct):
    items: list[_NewestItem]
    end_offset: int
    truncated: bool = False


class _JoinResponse(msgspec.Struct):
    generation: int
    parts: list[tuple[str, int, int]] = []  # Topic, partition, committed offset


class _OwnersResponse(msgspec.Struct):
    # Topic, partition, member (empty if none has the partition) and offset.
    rows: list[tuple[str, int, str, int]] = msgspec.field(
        name="parts", default_factory=list
    )


class _JoinRequest(msgspec.Struct):
    group: str
    member: str
    topics: list[str]
    ttl_ms: int
    generation: int


class _LeaveRequest(msgspec.Struct):
    group: str
    member: str


class StoreLog:
    """Implements `ports.Log` with calls to the platform's store.

    Calls fail with `ports.CallRefusedError` if nothing was sent or the answer
    is one of `_NO_EFFECT_STATUSES`, and with `ports.UnknownOutcomeError` after
    `timeout_ms` without an answer, on another status or an unreadable answer.
    """

    def __init__(
        self, *, client: http_client.HttpClient, address: str, member: str
    ) -> None:
        """Initializes a client of the store at `address` (``ip:port``)."""
        self._client = client
        self._address = address
        self.member = member

    def use_address(self, address: str) -> None:
        """Sends all later calls to another address."""
        self._address = address

    async def append(
        self, records: Sequence[tuple[str, bytes | None]], timeout_ms: int
    ) -> int:
        """Appends to the job topic without an epoch; see `ports.Log`."""
        return await self._append({}, records, timeout_ms)

    async def append_as_owner(
        self,
        records: Sequence[tuple[str, bytes | None]],
        epoch: int,
        sequence: int,
        timeout_ms: int,
    ) -> int:
        """Appends as the owner; a wrong sequence also raises `FencedError`."""
        query = {"producer": PRODUCER, "epoch": epoch, "seq": sequence}
        return await self._append(query, records, timeout_ms)

    async def read(
        self, topic: ports.Topic, offset: int, wait_ms: int, timeout_ms: int
    ) -> ports.LogPage:
        """Reads at most `MAX_READ_KB` kilobytes of records from an offset."""
        query = {
            **_partition_query(topic),
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": wait_ms,
        }
        response = await self._call("GET", "/-/log-read", query, timeout_ms)
        if response.status == http.HTTPStatus.GONE:
            raise ports.LogTruncatedError
        body = _check_status(response).body
        return framing.decode_page(body, offset, response.transfer_ms)

    async def snapshot(
        self, topic: ports.Topic, timeout_ms: int
    ) -> ports.Snapshot:
        """Reads the newest record of each key, in one or more pages."""
        items: list[_NewestItem] = []
        end_offset: int | None = None
        query = _partition_query(topic)
        while True:
            page = await self._read_newest(query, timeout_ms)
            # Records may be appended between the requests: keep the first end.
            end_offset = page.end_offset if end_offset is None else end_offset
            items += page.items
            if not page.truncated or not page.items:
                break
            query = {**query, "after": page.items[-1].key}
        records = sorted(map(_to_record, items), key=lambda each: each.offset)
        return ports.Snapshot(records=tuple(records), end_offset=end_offset)

    async def end_offset(self, topic: ports.Topic, timeout_ms: int) -> int:
        """Returns the end of a topic, from a snapshot without records."""
        query = {**_partition_query(topic), "after": _AFTER_ALL_KEYS}
        return (await self._read_newest(query, timeout_ms)).end_offset

    async def join(
        self, generation: int, ttl_ms: int, timeout_ms: int
    ) -> ports.Membership:
        """Joins the owners' group or renews the membership; see `ports.Log`."""
        body = _JoinRequest(
            group=OWNERS_GROUP,
            member=self.member,
            topics=[JOBS_TOPIC],
            ttl_ms=ttl_ms,
            generation=generation,
        )
        response = await self._call(
            "POST", "/-/log-join", {}, timeout_ms, msgspec.json.encode(body)
        )
        joined = _decode_response(response, _JoinResponse)
        assigned = {(topic, partition) for topic, partition, _ in joined.parts}
        return ports.Membership(
            generation=joined.generation,
            candidate=(JOBS_TOPIC, _PARTITION) in assigned,
            dealt=bool(assigned),
        )

    async def members(self, timeout_ms: int) -> frozenset[str]:
        """Returns the members of the owners' group that have a partition."""
        response = await self._call(
            "GET", "/-/log-owners", {"group": OWNERS_GROUP}, timeout_ms
        )
        rows = _decode_response(response, _OwnersResponse).rows
        return frozenset(member for _, _, member, _ in rows if member)

    async def leave(self, timeout_ms: int) -> None:
        """Leaves the owners' group."""
        body = _LeaveRequest(group=OWNERS_GROUP, member=self.member)
        data = msgspec.json.encode(body)
        _check_status(
            await self._call("POST", "/-/log-leave", {}, timeout_ms, data)
        )

    async def _read_newest(
        self, query: dict[str, object], timeout_ms: int
    ) -> _NewestResponse:
        response = await self._call("GET", "/-/log-newest", query, timeout_ms)
        return _decode_response(response, _NewestResponse)

    async def _append(
        self,
        query: dict[str, object],
        records: Sequence[tuple[str, bytes | None]],
        timeout_ms: int,
    ) -> int:
        query = {**_partition_query(ports.Topic.JOBS), **query}
        body = framing.encode(records)
        response = await self._call(
            "POST", "/-/log-append", query, timeout_ms, body
        )
        if response.status == http.HTTPStatus.CONFLICT:
            conflict = _decode(response.body, _ConflictResponse)
            raise ports.FencedError(conflict.epoch)
        return _decode_response(response, _AppendResponse).offset

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout_ms: int,
        body: bytes | None = None,
    ) -> http_client.HttpResponse:
        try:
            return await self._client.call(
                method,
                self._address,
                path,
                timeout_ms,
                query=parse.urlencode(query),
                body=body,
                stall_timeout_ms=call_time_limit.STALL_TIMEOUT_MS,
            )
        except http_client.NoAnswerError as error:
            error_type = (
                ports.UnknownOutcomeError
                if error.sent
                else ports.CallRefusedError
            )
            raise error_type(f"{path}: {error}", code=error.code) from error


def _partition_query(topic: ports.Topic) -> dict[str, object]:
    return {"topic": TOPICS[topic], "part": _PARTITION}


def _to_record(item: _NewestItem) -> ports.LogRecord:
    try:
        value = base64.b64decode(item.value, validate=True)
    except ValueError as error:
        raise framing.unreadable(f"record {item.key}", error) from error
    return ports.LogRecord(
        key=item.key, value=value or None, offset=item.offset
    )


def _check_status(
    response: http_client.HttpResponse,
) -> http_client.HttpResponse:
    if response.status == http.HTTPStatus.OK:
        return response
    no_effect = response.status in _NO_EFFECT_STATUSES
    error_type = (
        ports.CallRefusedError if no_effect else ports.UnknownOutcomeError
    )
    raise error_type(
        f"HTTP status {response.status}", code=codes.ResultCode.UNREACHABLE
    )


def _decode_response(
    response: http_client.HttpResponse, body_type: type[_Body]
) -> _Body:
    return _decode(_check_status(response).body, body_type)


def _decode(body: bytes, body_type: type[_Body]) -> _Body:
    try:
        return msgspec.json.decode(body, type=body_type)
    except errors.DECODING_ERRORS as error:
        raise framing.unreadable("body", error) from error
