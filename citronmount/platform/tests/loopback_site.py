"""The store and the runners over HTTP on loopback, for the soak."""

import base64
import random

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.web import iweb

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet import worker_directory
from citronmount.fleet_service import ports
from citronmount.platform import framing
from citronmount.platform import log as log_lib
from citronmount.standins import pool_log
from citronmount.standins import pool_workers
from citronmount.workflow import units

HOST = "127.0.0.1"
SILENCE_MS = 3_000
_TOPICS = {name: topic for topic, name in log_lib.TOPICS.items()}
_HOW = {
    commands.EndKind.DONE: "done",
    commands.EndKind.FAILED: "failed",
    commands.EndKind.STOPPED: "stopped",
    commands.EndKind.LEASE_EXPIRED: "lapsed",
    commands.EndKind.MEMBER_LOST: "broken",
    commands.EndKind.MEMBER_MISSING: "alone",
}
_REASONS = {
    commands.StartOutcome.FENCED: "fence",
    commands.StartOutcome.STALE_RUN: "old",
    commands.StartOutcome.LEASE_EXPIRED: "late",
    commands.StartOutcome.NO_CAPACITY: "room",
}


class StoreResource:
    """The store's calls over a `PoolLog`."""

    app = klein.Klein()

    def __init__(self, *, log: pool_log.PoolLog) -> None:
        self.log = log

    @app.route("/-/log-append", methods=["POST"])
    def append(self, request: iweb.IRequest) -> bytes:
        page = framing.decode_page(bytes(16) + request.content.read(), 0)
        entries = [(each.key, each.value) for each in page.records]
        epoch = request.args.get(b"epoch")
        try:
            if epoch is None:
                offset = self.log.write(ports.Topic.JOBS, entries)
            else:
                sequence = int(request.args[b"seq"][0])
                offset = self.log.append_as_owner(
                    entries, int(epoch[0]), sequence
                )
        except ports.FencedError as error:
            request.setResponseCode(409)
            return _json({"reason": "fenced", "epoch": error.epoch})
        return _json({"offset": offset, "end_offset": offset + len(entries)})

    @app.route("/-/log-read", methods=["GET"])
    async def read(self, request: iweb.IRequest) -> bytes:
        topic = _TOPICS[request.args[b"topic"][0].decode()]
        start = int(request.args[b"from"][0])
        page = self.log.page(topic, start)
        if not page.records and int(request.args[b"wait_ms"][0]):
            await self.log.next_write(int(request.args[b"wait_ms"][0]))
            page = self.log.page(topic, start)
        head = page.end_offset.to_bytes(8, "big") + bytes(8)
        pairs = [(each.key, each.value) for each in page.records]
        return head + framing.encode(pairs)

    @app.route("/-/log-newest", methods=["GET"])
    def newest(self, request: iweb.IRequest) -> bytes:
        topic = _TOPICS[request.args[b"topic"][0].decode()]
        snapshot = self.log.newest(topic)
        items = [
            {
                "key": each.key,
                "value": base64.b64encode(each.value).decode(),
                "offset": each.offset,
            }
            for each in snapshot.records
        ]
        return _json({"items": items, "end_offset": snapshot.end_offset})

    @app.route("/-/log-join", methods=["POST"])
    def join(self, request: iweb.IRequest) -> bytes:
        said = msgspec.json.decode(request.content.read())
        dealt = self.log.join(said["member"], said["ttl_ms"])
        part = 0 if dealt.candidate else 1
        parts = [[log_lib.JOBS_TOPIC, part, 0]] if dealt.dealt else []
        return _json({"generation": dealt.generation, "parts": parts})

    @app.route("/-/log-leave", methods=["POST"])
    def leave(self, request: iweb.IRequest) -> bytes:
        self.log.leave(msgspec.json.decode(request.content.read())["member"])
        return b"{}"

    @app.route("/-/log-owners", methods=["GET"])
    def owners(self, request: iweb.IRequest) -> bytes:
        members = sorted(self.log.members())
        rows = [
            [log_lib.JOBS_TOPIC, number, member, 0]
            for number, member in enumerate(members)
        ]
        return _json({"parts": rows})


class RunnerResource:
    """The runners' calls over `PoolWorkers`, told apart by instance."""

    app = klein.Klein()

    def __init__(self, *, pool: pool_workers.PoolWorkers) -> None:
        self.pool = pool

    @app.route("/-/run-start", methods=["POST"])
    async def start(self, request: iweb.IRequest) -> bytes:
        said = msgspec.json.decode(request.content.read())
        command = commands.Start(
            worker=self._entry(request),
            task=units.TaskName(said["task"]),
            run=said["run_id"],
            payload=said["spec"],
            until_ms=said["until_ms"],
            saved=said.get("checkpoint", ""),
            token=ids.FenceToken(said["fencing_token"]),
        )
        outcome, _ = await self.pool.start(command, SILENCE_MS)
        if outcome is not commands.StartOutcome.STARTED:
            request.setResponseCode(409)
        return self._answer(_REASONS.get(outcome, ""))

    @app.route("/-/run-stop", methods=["POST"])
    async def stop(self, request: iweb.IRequest) -> bytes:
        said = msgspec.json.decode(request.content.read())
        command = commands.Stop(
            worker=self._entry(request),
            task=units.TaskName(said["task"]),
            run=said["run_id"],
            token=ids.FenceToken(said["fencing_token"]),
        )
        outcome, _ = await self.pool.stop(command, SILENCE_MS)
        fenced = outcome is commands.StopOutcome.FENCED
        request.setResponseCode(409 if fenced else 200)
        return self._answer("fence" if fenced else "")

    @app.route("/-/hold", methods=["POST"])
    async def hold(self, request: iweb.IRequest) -> bytes:
        said = msgspec.json.decode(request.content.read())
        command = commands.RenewLeases(
            worker=self._entry(request),
            until_ms=said.get("until_ms"),
            last_seen=said["last_seen"],
            wait_ms=said.get("wait_ms", 0),
            token=ids.FenceToken(said["fencing_token"]),
        )
        report = await self.pool.renew_leases(command, SILENCE_MS)
        if not isinstance(report, commands.LeaseReport):
            request.setResponseCode(409)
            return self._answer("fence")
        return _json(
            {
                "clock_ms": report.clock_ms,
                "born": report.life_ms,
                "running": [
                    [each.task, each.run, each.saved, 100, 0]
                    for each in report.running
                ],
                "finished": [
                    [e.number, e.task, e.run, _HOW[e.kind], e.saved]
                    for e in report.ended
                ],
            }
        )

    def _entry(self, request: iweb.IRequest) -> worker_directory.Worker:
        name = request.getHeader("citronmount-expect-instance")
        return self.pool.workers[ids.WorkerId(name)].entry

    def _answer(self, reason: str) -> bytes:
        return _json({"clock_ms": self.pool.now_ms(), "reason": reason})


class Link(protocol.ServerFactory):
    """A loopback proxy in front of the store, with faults.

    Attributes:
        delay_s: How long each piece of data is held back.
        silent_in: Whether data to the store vanishes.
        silent_out: Whether data from the store vanishes.
    """

    noisy = False

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.delay_s = 0.0
        self.silent_in = False
        self.silent_out = False
        self.open: set[_Near] = set()

    def buildProtocol(self, address):  # noqa: N802
        return _Near(self)

    def reset(self) -> None:
        for near in list(self.open):
            near.transport.abortConnection()

    def heal(self) -> None:
        self.delay_s = 0.0
        self.silent_in = self.silent_out = False


class _Near(protocol.Protocol):
    def __init__(self, link: Link) -> None:
        self.link = link
        self.far: _Far | None = None
        self.early: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.link.open.add(self)
        creator = protocol.ClientCreator(reactor, _Far, self)
        made = creator.connectTCP(HOST, self.link.port)
        made.addCallbacks(self._connected, lambda _: self._drop())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.link.silent_in:
            return
        if self.far is None:
            self.early.append(data)
        else:
            _later(self.link, self.far, data)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.link.open.discard(self)
        if self.far is not None:
            self.far.transport.loseConnection()

    def _connected(self, far: "_Far") -> None:
        self.far = far
        for data in self.early:
            far.transport.write(data)

    def _drop(self) -> None:
        self.transport.abortConnection()


class _Far(protocol.Protocol):
    def __init__(self, near: _Near) -> None:
        self.near = near

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if not self.near.link.silent_out:
            _later(self.near.link, self.near, data)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.near.transport.loseConnection()


def _later(link: Link, to: protocol.Protocol, data: bytes) -> None:
    if link.delay_s:
        reactor.callLater(link.delay_s, to.transport.write, data)
    else:
        to.transport.write(data)


def _json(body: object) -> bytes:
    return msgspec.json.encode(body)


def sleep(time_s: float) -> defer.Deferred[None]:
    done: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(time_s, done.callback, None)
    return done


def pick(rng: random.Random, low: float, high: float) -> float:
    return low + (high - low) * rng.random()
