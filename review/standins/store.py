"""The platform's metadata store: keyed topics and member groups."""

import asyncio
import base64
from collections.abc import Callable
import contextlib
import itertools
import json
import struct
import time

from standins import http_server

__all__ = ["Store"]

PARTITIONS = 12
ANSWER_S = 0.004


class _Topic:
    """One keyed topic with its only partition in use, number 0."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[tuple[float, bytes]] = []  # Time, content
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        return self.first + len(self.records)

    def append(self, contents: list[bytes]) -> int:
        offset = self.end
        for number, content in enumerate(contents, offset):
            self.records.append((time.monotonic(), content))
            key = content[1 : content[0] + 1].decode("utf-8")
            value = content[content[0] + 1 :]
            if value:
                self.newest[key] = (number, value)
            else:
                self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, keep_s: float) -> None:
        limit = time.monotonic() - keep_s
        expired = sum(
            1 for _ in itertools.takewhile(lambda r: r[0] < limit, self.records)
        )
        del self.records[:expired]
        self.first += expired


class _Group:
    """A member group whose partitions move when their holder has joined."""

    def __init__(self) -> None:
        self.generation = 0
        self.until: dict[str, float] = {}
        self.holder: list[str] = [""] * PARTITIONS
        self.target: list[str] = [""] * PARTITIONS

    def expire(self) -> None:
        now = time.monotonic()
        for member in [m for m, until in self.until.items() if until < now]:
            self.remove(member)

    def remove(self, member: str) -> None:
        if self.until.pop(member, None) is not None:
            self.holder = ["" if h == member else h for h in self.holder]
            self._deal()

    def join(self, member: str, ttl_s: float, generation: int) -> None:
        known = member in self.until
        self.until[member] = time.monotonic() + ttl_s
        if not known:
            self._deal()
        elif generation >= self.generation:
            for number, holder in enumerate(self.holder):
                if holder == member:
                    self.holder[number] = self.target[number]
        for number, target in enumerate(self.target):
            if target == member and not self.holder[number]:
                self.holder[number] = member

    def _deal(self) -> None:
        """Deals the partitions evenly and leaves as many as it can."""
        self.generation += 1
        members = list(self.until)
        most = -(-PARTITIONS // len(members)) if members else 0
        counts = dict.fromkeys(members, 0)
        homeless = []
        for number, member in enumerate(self.target):
            if member in counts and counts[member] < most:
                counts[member] += 1
            else:
                homeless.append(number)
        for number in homeless:
            member = min(counts, key=counts.get) if counts else ""
            self.target[number] = member
            if member:
                counts[member] += 1
        self._fill()

    def rebalance(self) -> None:
        """Deals all partitions anew; each is held from the next join on."""
        self.generation += 1
        self.holder = [""] * PARTITIONS
        members = list(self.until)
        following = dict(zip(members, members[1:] + members[:1], strict=True))
        self.target = [following.get(member, "") for member in self.target]

    def _fill(self) -> None:
        self.holder = [
            held or target
            for held, target in zip(self.holder, self.target, strict=True)
        ]


class Store:
    """The store; `before_append` may lose an append's answer or delay it.

    Attributes:
        before_append: Called with the query and the records' contents; returns
            None for an ordinary append, or after how many seconds the append
            is executed while its answer is lost.
        topics: The topics by name.
    """

    def __init__(self, *, keep_s: float = 300.0) -> None:
        """Initializes an empty store whose history lasts `keep_s`."""
        self.before_append: Callable[[dict, list[bytes]], float | None] = (
            lambda query, contents: None
        )
        self.topics: dict[str, _Topic] = {}
        self._keep_s = keep_s
        self._groups: dict[str, _Group] = {}
        self._epochs: dict[str, int] = {}
        self._answers: dict[str, dict[int, int]] = {}

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record, as the operator and the runners do."""
        name = key.encode("utf-8")
        self._topic(topic).append([bytes([len(name)]) + name + value])

    def newest_epoch(self) -> int:
        """Returns the newest epoch that a producer has sent."""
        return max(self._epochs.values(), default=0)

    def rebalance(self) -> None:
        """Reassigns all partitions of all groups at once."""
        for group in self._groups.values():
            group.rebalance()

    def _topic(self, name: str) -> _Topic:
        topic = self.topics.setdefault(name, _Topic())
        topic.expire(self._keep_s)
        return topic

    def _group(self, name: str) -> _Group:
        group = self._groups.setdefault(name, _Group())
        group.expire()
        return group

    async def handle(self, request: http_server.Request) -> http_server.Reply:
        """Answers a call."""
        await asyncio.sleep(ANSWER_S)
        name = request.path.removeprefix("/-/log-").replace("-", "_")
        method = getattr(self, f"_on_{name}", None)
        if method is None:
            return http_server.json_reply(404)
        return await method(request)

    async def _on_append(
        self, request: http_server.Request
    ) -> http_server.Reply:
        contents = []
        position = 0
        while position < len(request.body):
            (size,) = struct.unpack_from(">I", request.body, position)
            contents.append(request.body[position + 4 : position + 4 + size])
            position += 4 + size
        delay_s = self.before_append(request.query, contents)
        if delay_s is not None:
            await asyncio.sleep(delay_s)
            self._append(request.query, contents)
            return http_server.Reply(lost=True)
        return self._append(request.query, contents)

    def _append(
        self, query: dict[str, str], contents: list[bytes]
    ) -> http_server.Reply:
        topic = self._topic(query["topic"])
        producer = query.get("producer")
        if producer is None:
            offset = topic.append(contents)
            return http_server.json_reply(offset=offset, end_offset=topic.end)
        epoch, seq = int(query["epoch"]), int(query["seq"])
        newest = self._epochs.get(producer, 0)
        if epoch < newest:
            return http_server.json_reply(409, reason="fenced")
        if epoch > newest:
            self._epochs[producer] = epoch
            self._answers[producer] = {}
        answers = self._answers.setdefault(producer, {})
        if seq not in answers:
            if answers and seq != max(answers) + 1:
                return http_server.json_reply(
                    409, reason="seq", seq=max(answers) + 1
                )
            answers[seq] = topic.append(contents)
            answers.pop(seq - 5, None)
        return http_server.json_reply(offset=answers[seq], end_offset=topic.end)

    async def _on_read(self, request: http_server.Request) -> http_server.Reply:
        query = request.query
        topic = self._topic(query["topic"])
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", 0)) / 1_000
        if start >= topic.end and wait_s:
            changed = topic.changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), wait_s)
            topic = self._topic(query["topic"])
        if start < topic.first:
            return http_server.json_reply(410, first_offset=topic.first)
        body = struct.pack(">QQ", topic.end, topic.first)
        for _, content in topic.records[start - topic.first :]:
            body += struct.pack(">I", len(content)) + content
            if len(body) > int(query.get("max_kb", 1_024)) * 1_024:
                break
        return http_server.Reply(body=body)

    async def _on_newest(
        self, request: http_server.Request
    ) -> http_server.Reply:
        topic = self._topic(request.query["topic"])
        after = request.query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "offset": topic.newest[key][0],
                "value": base64.b64encode(topic.newest[key][1]).decode("ascii"),
            }
            for key in keys[:500]
        ]
        return http_server.json_reply(
            items=items, truncated=len(keys) > 500, end_offset=topic.end
        )

    async def _on_join(self, request: http_server.Request) -> http_server.Reply:
        body = request.json()
        group = self._group(body["group"])
        group.join(body["member"], body["ttl_ms"] / 1_000, body["generation"])
        parts = [
            [body["topics"][0], number, 0]
            for number, holder in enumerate(group.holder)
            if holder == group.target[number] == body["member"]
        ]
        return http_server.json_reply(
            generation=group.generation, ttl_ms=body["ttl_ms"], parts=parts
        )

    async def _on_leave(
        self, request: http_server.Request
    ) -> http_server.Reply:
        body = request.json()
        self._group(body["group"]).remove(body["member"])
        return http_server.json_reply()

    async def _on_owners(
        self, request: http_server.Request
    ) -> http_server.Reply:
        group = self._group(request.query["group"])
        rows = [
            ["keyed.jobs", number, holder, 0]
            for number, holder in enumerate(group.holder)
        ]
        return http_server.json_reply(parts=rows)

    def put_json(self, topic: str, key: str, value: object) -> None:
        """Writes a record with a JSON value."""
        self.put(topic, key, json.dumps(value).encode("utf-8"))
