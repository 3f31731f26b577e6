"""The platform's metadata store as the log of a pool."""

import base64
from collections.abc import Sequence
import http
import typing
from urllib import parse

import msgspec

from citronmount.clients import http_client
from citronmount.core import codes
from citronmount.fleet_service import ports
from citronmount.platform import framing

__all__ = ["JOBS_TOPIC", "TOPICS", "StoreLog"]

JOBS_TOPIC = "keyed.jobs"
PRODUCER = "owner"
GROUP = "owners"
MAX_READ_KB = 1_024

_PART = 0
TOPICS = {
    ports.Topic.JOBS: JOBS_TOPIC,
    ports.Topic.CONFIGURATION: "keyed.op",
    ports.Topic.WORKERS: "keyed.servers",
}
_NOTHING_DONE = (
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
    http.HTTPStatus.INSUFFICIENT_STORAGE,
)

_Body = typing.TypeVar("_Body")


class _Appended(msgspec.Struct):
    offset: int = 0


class _Conflict(msgspec.Struct):
    """Why an append was refused; `epoch` and `seq` tell what was expected."""

    reason: str = ""
    epoch: int | None = None
    seq: int | None = None


class _NewestItem(msgspec.Struct):
    key: str
    offset: int
    value: str = ""


class _Newest(msgspec.Struct):
    items: list[_NewestItem]
    end_offset: int
    truncated: bool = False


class _Joined(msgspec.Struct):
    """`parts` holds rows of topic, partition and committed offset."""

    generation: int
    parts: list[tuple[str, int, int]] = []


class _Owners(msgspec.Struct):
    """`parts` holds rows of topic, partition, member and offset."""

    rows: list[tuple[str, int, str, int]] = msgspec.field(
        name="parts", default_factory=list
    )


class _Join(msgspec.Struct):
    group: str
    member: str
    topics: list[str]
    ttl_ms: int
    generation: int


class _Leave(msgspec.Struct):
    group: str
    member: str


class StoreLog:
    """Makes the calls of `ports.Log` at the platform's store."""

    def __init__(
        self, *, connections: http_client.HttpClient, address: str, member: str
    ) -> None:
        """Initializes a client of one store.

        Args:
            connections: The connections to use.
            address: ``ip:port`` of the store.
            member: The name of this VM in groups.
        """
        self._connections = connections
        self._address = address
        self.member = member

    def use_address(self, address: str) -> None:
        """Makes further calls go to another address."""
        self._address = address

    async def append(
        self, records: Sequence[tuple[str, bytes | None]], timeout_ms: int
    ) -> int:
        """Appends to the job topic; see `ports.Log`."""
        answer = await self._append({}, framing.encode(records), timeout_ms)
        return _decoded(answer, _Appended).offset

    async def append_as_owner(
        self,
        records: Sequence[tuple[str, bytes | None]],
        epoch: int,
        sequence: int,
        timeout_ms: int,
    ) -> int:
        """Appends unless a newer epoch was seen; see `ports.Log`."""
        query = {"producer": PRODUCER, "epoch": epoch, "seq": sequence}
        answer = await self._append(query, framing.encode(records), timeout_ms)
        return _decoded(answer, _Appended).offset

    async def read(
        self, topic: ports.Topic, offset: int, wait_ms: int, timeout_ms: int
    ) -> ports.LogPage:
        """Reads records; see `ports.Log`."""
        query = {
            **_place(topic),
            "from": offset,
            "max_kb": MAX_READ_KB,
            "wait_ms": wait_ms,
        }
        answer = await self._call("GET", "/-/log-read", query, timeout_ms)
        if answer.status == http.HTTPStatus.GONE:
            raise ports.LogTruncatedError
        return framing.decode_page(_checked(answer).body, offset)

    async def snapshot(
        self, topic: ports.Topic, timeout_ms: int
    ) -> ports.Snapshot:
        """Reads the newest record of each key; see `ports.Log`."""
        items: list[_NewestItem] = []
        first_end: int | None = None
        query = _place(topic)
        while True:
            answer = await self._call("GET", "/-/log-newest", query, timeout_ms)
            page = _decoded(answer, _Newest)
            first_end = page.end_offset if first_end is None else first_end
            items += page.items
            if not page.truncated or not page.items:
                break
            query = {**query, "after": page.items[-1].key}
        records = sorted(map(_record, items), key=lambda each: each.offset)
        return ports.Snapshot(records=tuple(records), end_offset=first_end)

    async def join(
        self, generation: int, ttl_ms: int, timeout_ms: int
    ) -> ports.Membership:
        """Joins the owners' group; see `ports.Log`."""
        body = _Join(
            group=GROUP,
            member=self.member,
            topics=[JOBS_TOPIC],
            ttl_ms=ttl_ms,
            generation=generation,
        )
        answer = await self._call(
            "POST", "/-/log-join", {}, timeout_ms, msgspec.json.encode(body)
        )
        joined = _decoded(answer, _Joined)
        held = {(topic, part) for topic, part, _ in joined.parts}
        return ports.Membership(
            generation=joined.generation,
            candidate=(JOBS_TOPIC, _PART) in held,
            dealt=bool(held),
        )

    async def members(self, timeout_ms: int) -> frozenset[str]:
        """Tells who was dealt anything; see `ports.Log`."""
        answer = await self._call(
            "GET", "/-/log-owners", {"group": GROUP}, timeout_ms
        )
        rows = _decoded(answer, _Owners).rows
        return frozenset(member for _, _, member, _ in rows)

    async def leave(self, timeout_ms: int) -> None:
        """Leaves the owners' group; see `ports.Log`."""
        body = msgspec.json.encode(_Leave(group=GROUP, member=self.member))
        answer = await self._call("POST", "/-/log-leave", {}, timeout_ms, body)
        _checked(answer)

    async def _append(
        self, query: dict[str, object], body: bytes, timeout_ms: int
    ) -> http_client.HttpResponse:
        place = _place(ports.Topic.JOBS)
        answer = await self._call(
            "POST", "/-/log-append", {**place, **query}, timeout_ms, body
        )
        if answer.status == http.HTTPStatus.CONFLICT:
            raise ports.FencedError(_conflicting_epoch(answer))
        return answer

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, object],
        timeout_ms: int,
        body: bytes | None = None,
    ) -> http_client.HttpResponse:
        try:
            return await self._connections.call(
                method,
                self._address,
                path,
                timeout_ms,
                query=parse.urlencode(query),
                body=body,
            )
        except http_client.NoAnswerError as error:
            kind = (
                ports.UnknownOutcomeError
                if error.sent
                else ports.CallRefusedError
            )
            raise kind(f"{path}: {error}", code=error.code) from error


def _place(topic: ports.Topic) -> dict[str, object]:
    return {"topic": TOPICS[topic], "part": _PART}


def _record(item: _NewestItem) -> ports.LogRecord:
    return ports.LogRecord(
        key=item.key,
        value=base64.b64decode(item.value) or None,
        offset=item.offset,
    )


def _checked(answer: http_client.HttpResponse) -> http_client.HttpResponse:
    if answer.status == http.HTTPStatus.OK:
        return answer
    nothing_done = answer.status in _NOTHING_DONE
    kind = ports.CallRefusedError if nothing_done else ports.UnknownOutcomeError
    raise kind(
        f"HTTP status {answer.status}", code=codes.ResultCode.UNREACHABLE
    )


def _decoded(answer: http_client.HttpResponse, kind: type[_Body]) -> _Body:
    return msgspec.json.decode(_checked(answer).body, type=kind)


def _conflicting_epoch(answer: http_client.HttpResponse) -> int | None:
    return msgspec.json.decode(answer.body, type=_Conflict).epoch
