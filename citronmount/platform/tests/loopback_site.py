"""HTTP servers of an in-memory store and runners on loopback, for the soak."""

import base64
import random

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.python import failure
from twisted.web import iweb

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import ports
from citronmount.platform import framing
from citronmount.platform import store_log
from citronmount.standins import pool_log
from citronmount.standins import pool_workers
from citronmount.workflow import units

HOST = "127.0.0.1"
ANSWER_TIMEOUT_MS = 3_000
_TOPICS = {name: topic for topic, name in store_log.TOPICS.items()}
_END_KINDS = {
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
    """The store's HTTP interface, served from a `PoolLog`."""

    app = klein.Klein()

    def __init__(self, *, log: pool_log.PoolLog) -> None:
        self.log = log

    @app.route("/-/log-append", methods=["POST"])
    def append(self, request: iweb.IRequest) -> bytes:
        page = framing.decode_page(bytes(16) + request.content.read(), 0)
        records = [(each.key, each.value) for each in page.records]
        epoch = request.args.get(b"epoch")
        try:
            if epoch is None:
                offset = self.log.append_records(ports.Topic.JOBS, records)
            else:
                sequence = int(request.args[b"seq"][0])
                offset = self.log.append_as_owner(
                    records, int(epoch[0]), sequence
                )
        except ports.FencedError as error:
            request.setResponseCode(409)
            return _encode_json({"reason": "fenced", "epoch": error.epoch})
        return _encode_json(
            {"offset": offset, "end_offset": offset + len(records)}
        )

    @app.route("/-/log-read", methods=["GET"])
    async def read(self, request: iweb.IRequest) -> bytes:
        topic = _TOPICS[request.args[b"topic"][0].decode()]
        offset = int(request.args[b"from"][0])
        page = self.log.read_page(topic, offset)
        if not page.records and int(request.args[b"wait_ms"][0]):
            wait_ms = int(request.args[b"wait_ms"][0])
            await self.log.wait_for_append(topic, wait_ms)
            page = self.log.read_page(topic, offset)
        header = page.end_offset.to_bytes(8, "big") + bytes(8)
        records = [(each.key, each.value) for each in page.records]
        return header + framing.encode(records)

    @app.route("/-/log-newest", methods=["GET"])
    def newest(self, request: iweb.IRequest) -> bytes:
        topic = _TOPICS[request.args[b"topic"][0].decode()]
        after = request.args.get(b"after", [b""])[0].decode()
        snapshot = self.log.snapshot(topic)
        items = [
            {
                "key": each.key,
                "value": base64.b64encode(each.value).decode(),
                "offset": each.offset,
            }
            for each in snapshot.records
            if each.key > after
        ]
        return _encode_json({"items": items, "end_offset": snapshot.end_offset})

    @app.route("/-/log-join", methods=["POST"])
    def join(self, request: iweb.IRequest) -> bytes:
        body = msgspec.json.decode(request.content.read())
        membership = self.log.join(body["member"], body["ttl_ms"])
        part = 0 if membership.candidate else 1
        parts = [[store_log.JOBS_TOPIC, part, 0]] if membership.dealt else []
        return _encode_json(
            {"generation": membership.generation, "parts": parts}
        )

    @app.route("/-/log-leave", methods=["POST"])
    def leave(self, request: iweb.IRequest) -> bytes:
        self.log.leave(msgspec.json.decode(request.content.read())["member"])
        return b"{}"

    @app.route("/-/log-owners", methods=["GET"])
    def owners(self, request: iweb.IRequest) -> bytes:
        members = sorted(self.log.members())
        rows = [
            [store_log.JOBS_TOPIC, number, member, 0]
            for number, member in enumerate(members)
        ]
        return _encode_json({"parts": rows})


class UnknownRunnerError(Exception):
    def __init__(self, instance: ids.WorkerId) -> None:
        super().__init__(instance)
        self.instance = instance


class RunnerResource:
    """The HTTP interface of all runners, served from `PoolWorkers`.

    The runners share one port; the instance header of a call selects one. A
    call to a runner that is down is not answered.

    Attributes:
        former_ids: Ids that a runner no longer has; they answer with 421.
    """

    app = klein.Klein()

    def __init__(self, *, pool: pool_workers.PoolWorkers) -> None:
        self.pool = pool
        self.former_ids: set[ids.WorkerId] = set()

    @app.handle_errors(UnknownRunnerError)
    async def unknown_runner(
        self, request: iweb.IRequest, reason: failure.Failure
    ) -> bytes:
        if reason.value.instance in self.former_ids:
            request.setResponseCode(421)
            return b"{}"
        await sleep(ANSWER_TIMEOUT_MS / 1_000)
        request.setResponseCode(503)
        return b"{}"

    @app.route("/-/run-start", methods=["POST"])
    async def start(self, request: iweb.IRequest) -> bytes:
        body = msgspec.json.decode(request.content.read())
        command = commands.Start(
            worker=self._addressed_worker(request),
            task=units.TaskName(body["task"]),
            run=body["run_id"],
            payload=body["spec"],
            until_ms=body["until_ms"],
            saved=body.get("checkpoint", ""),
            token=ids.FenceToken(body["fencing_token"]),
        )
        outcome, clock_ms = await self.pool.start(command, ANSWER_TIMEOUT_MS)
        if outcome is not commands.StartOutcome.STARTED:
            request.setResponseCode(409)
        return self._encode_answer(_REASONS.get(outcome, ""), clock_ms)

    @app.route("/-/run-stop", methods=["POST"])
    async def stop(self, request: iweb.IRequest) -> bytes:
        body = msgspec.json.decode(request.content.read())
        command = commands.Stop(
            worker=self._addressed_worker(request),
            task=units.TaskName(body["task"]),
            run=body["run_id"],
            token=ids.FenceToken(body["fencing_token"]),
        )
        outcome, clock_ms = await self.pool.stop(command, ANSWER_TIMEOUT_MS)
        fenced = outcome is commands.StopOutcome.FENCED
        request.setResponseCode(409 if fenced else 200)
        return self._encode_answer("fence" if fenced else "", clock_ms)

    @app.route("/-/hold", methods=["POST"])
    async def renew_leases(self, request: iweb.IRequest) -> bytes:
        body = msgspec.json.decode(request.content.read())
        command = commands.RenewLeases(
            worker=self._addressed_worker(request),
            until_ms=body.get("until_ms"),
            last_seen=body["last_seen"],
            wait_ms=body.get("wait_ms", 0),
            token=ids.FenceToken(body["fencing_token"]),
        )
        report = await self.pool.renew_leases(command, ANSWER_TIMEOUT_MS)
        if not isinstance(report, commands.LeaseReport):
            request.setResponseCode(409)
            return self._encode_answer("fence", None)
        return _encode_json(
            {
                "clock_ms": report.clock_ms,
                "born": report.life_ms,
                "running": [
                    [each.task, each.run, each.saved, 100, 0]
                    for each in report.running
                ],
                "finished": [
                    [
                        each.number,
                        each.task,
                        each.run,
                        _END_KINDS[each.kind],
                        each.saved,
                    ]
                    for each in report.ended
                ],
            }
        )

    def _addressed_worker(
        self, request: iweb.IRequest
    ) -> worker_directory.Worker:
        instance = request.getHeader("citronmount-expect-instance")
        worker = self.pool.workers.get(ids.WorkerId(instance))
        if worker is None:
            raise UnknownRunnerError(ids.WorkerId(instance))
        return worker.entry

    def _encode_answer(self, reason: str, clock_ms: int | None) -> bytes:
        return _encode_json({"clock_ms": clock_ms, "reason": reason})


class FaultyProxy(protocol.ServerFactory):
    """A loopback TCP proxy between a VM and the store that injects faults.

    Attributes:
        delay_s: Delay of each piece of data in both directions.
        link_bytes_per_s: Rate of the link to the VM, or 0 for no limit.
        drops_requests: Whether data to the store is discarded.
        drops_responses: Whether data from the store is discarded.
        connections: The open connections from the VM.
    """

    noisy = False

    def __init__(self, *, port: int) -> None:
        self.port = port
        self.delay_s = 0.0
        self.link_bytes_per_s = 0
        self.link_free_s = 0.0
        self.drops_requests = False
        self.drops_responses = False
        self.connections: set[_VmConnection] = set()

    def buildProtocol(self, address):  # noqa: N802
        return _VmConnection(self)

    def reset(self) -> None:
        for vm_connection in list(self.connections):
            vm_connection.transport.abortConnection()

    def transfer_s(self, size_bytes: int) -> float:
        """Returns the time until the link has carried data that arrives now."""
        if not self.link_bytes_per_s:
            return 0.0
        now_s = reactor.seconds()
        self.link_free_s = max(self.link_free_s, now_s)
        self.link_free_s += size_bytes / self.link_bytes_per_s
        return self.link_free_s - now_s

    def heal(self) -> None:
        self.delay_s = 0.0
        self.drops_requests = self.drops_responses = False


class _VmConnection(protocol.Protocol):
    """A connection from the VM; queues data until the store is connected."""

    def __init__(self, proxy: FaultyProxy) -> None:
        self.proxy = proxy
        self.store_connection: _StoreConnection | None = None
        self.pending: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        self.proxy.connections.add(self)
        creator = protocol.ClientCreator(reactor, _StoreConnection, self)
        connecting = creator.connectTCP(HOST, self.proxy.port)
        connecting.addCallbacks(self._store_connected, lambda _: self._abort())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        if self.proxy.drops_requests:
            return
        if self.store_connection is None:
            self.pending.append(data)
        else:
            _forward(self.store_connection, data, self.proxy.delay_s)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.proxy.connections.discard(self)
        if self.store_connection is not None:
            self.store_connection.transport.loseConnection()

    def _store_connected(self, store_connection: "_StoreConnection") -> None:
        self.store_connection = store_connection
        for data in self.pending:
            store_connection.transport.write(data)

    def _abort(self) -> None:
        self.transport.abortConnection()


class _StoreConnection(protocol.Protocol):
    """A connection to the store, opened for one connection from the VM."""

    def __init__(self, vm_connection: _VmConnection) -> None:
        self.vm_connection = vm_connection

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        proxy = self.vm_connection.proxy
        if not proxy.drops_responses:
            delay_s = proxy.delay_s + proxy.transfer_s(len(data))
            _forward(self.vm_connection, data, delay_s)

    def connectionLost(self, reason) -> None:  # noqa: N802
        self.vm_connection.transport.loseConnection()


def _forward(receiver: protocol.Protocol, data: bytes, delay_s: float) -> None:
    if delay_s:
        reactor.callLater(delay_s, receiver.transport.write, data)
    else:
        receiver.transport.write(data)


def _encode_json(body: object) -> bytes:
    return msgspec.json.encode(body)


def sleep(time_s: float) -> defer.Deferred[None]:
    done: defer.Deferred[None] = defer.Deferred()
    reactor.callLater(time_s, done.callback, None)
    return done


def draw(rng: random.Random, low: float, high: float) -> float:
    return low + (high - low) * rng.random()
