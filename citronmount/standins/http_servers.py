"""HTTP servers around the in-memory stand-ins."""

from collections.abc import Callable
import contextlib
import hashlib
import time
import typing

import klein
import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import http
from twisted.web import server

from citronmount.clients import messages
from citronmount.clients import wire_format
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.standins import http_faults
from citronmount.standins import log_model
from citronmount.standins import platform_model
from citronmount.standins import runner_model
from citronmount.standins import worker_model
from citronmount.telemetry import timeline_events

__all__ = [
    "LogServer",
    "PlatformServer",
    "RunnerServer",
    "StandinSettings",
    "WorkerServer",
    "serve_all",
]

_MS_PER_S = 1_000
_MS_PER_NS = 1 / 1_000_000
_MAX_PAGE_RECORDS = 10_000
_ETAG_BYTES = 16

Emit = Callable[[timeline_events.TimelineEvent], None]


class StandinSettings(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Settings of one process that serves stand-ins.

    Attributes:
        log_address: ``ip:port`` of the log service.
        vm_list_address: ``ip:port`` of the list of VMs and targets.
        log_retention_ms: Retention time of a log record.
        vm_list_lag_ms: Time until the list shows a change.
        vms: VMs that the list contains at the start.
        workers: Workers to serve, each at its listed address.
        runners: Runners to serve, each at its listed address.
    """

    log_address: str
    vm_list_address: str
    log_retention_ms: int = 24 * 60 * 60 * 1_000
    vm_list_lag_ms: int = 0
    vms: tuple[messages.ListedVm, ...] = ()
    workers: tuple[messages.ListedTarget, ...] = ()
    runners: tuple[messages.ListedTarget, ...] = ()


def _now_ms() -> int:
    return int(time.monotonic_ns() * _MS_PER_NS)


class _FaultyServer:
    """Base of all servers: applies faults to the handling of requests."""

    def __init__(self, *, reactor: interfaces.IReactorTime) -> None:
        self.faults = http_faults.Faults()
        self._reactor = reactor

    def _serve(
        self,
        request: http.Request,
        handle: Callable[[], bytes | defer.Deferred[bytes]],
    ) -> defer.Deferred[bytes]:
        request.setHeader("Content-Type", wire_format.CONTENT_TYPE)
        return defer.ensureDeferred(
            http_faults.serve(self.faults, self._reactor, request, handle)
        )

    def _set_faults(self, request: http.Request) -> bytes:
        body = request.content.read()
        self.faults = msgspec.json.decode(body, type=http_faults.Faults)
        return b""


class LogServer(_FaultyServer):
    """Serves the log service over HTTP."""

    app = klein.Klein()

    def __init__(
        self, *, reactor: interfaces.IReactorTime, model: log_model.LogModel
    ) -> None:
        """Initializes the server.

        Args:
            reactor: Times injected delays.
            model: The log.
        """
        super().__init__(reactor=reactor)
        self._model = model

    @app.route("/streams/<stream>/records", methods=["POST"])
    def append(
        self, request: http.Request, stream: str
    ) -> defer.Deferred[bytes]:
        """Appends the records in the request body to a stream."""
        body = wire_format.decode(
            request.content.read(), wire_format.AppendRequest
        )
        name = ids.StreamName(stream)
        return self._serve(request, lambda: self._append(name, body))

    @app.route("/streams/<stream>/records", methods=["GET"])
    def read(self, request: http.Request, stream: str) -> defer.Deferred[bytes]:
        """Returns a page of records from the offset in the query."""
        name = ids.StreamName(stream)
        start = ids.Offset(int(request.args[b"start"][0]))
        limit = min(int(request.args[b"limit"][0]), _MAX_PAGE_RECORDS)
        return self._serve(
            request,
            lambda: wire_format.encode(
                self._model.read(name, start, limit, _now_ms())
            ),
        )

    @app.route("/faults", methods=["PUT"])
    def set_faults(self, request: http.Request) -> bytes:
        """Replaces the injected faults of this server with the JSON body."""
        return self._set_faults(request)

    def _append(
        self, stream: ids.StreamName, body: wire_format.AppendRequest
    ) -> bytes:
        offset = self._model.append(stream, body.records, _now_ms())
        return wire_format.encode(wire_format.AppendAnswer(offset=offset))


class PlatformServer(_FaultyServer):
    """Serves the platform's list of VMs and targets over HTTP."""

    app = klein.Klein()

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        model: platform_model.PlatformModel,
        timeline: typing.Sequence[timeline_events.TimelineEvent] = (),
        on_target_state: Callable[[str, states.TargetState], None],
    ) -> None:
        """Initializes the server.

        Args:
            reactor: Times injected delays.
            model: The list.
            timeline: Events emitted by the targets, in order.
            on_target_state: Called with the name and new state of a target
                whose state was set.
        """
        super().__init__(reactor=reactor)
        self._model = model
        self._timeline = timeline
        self._on_target_state = on_target_state

    @app.route(wire_format.PLATFORM_PATH, methods=["GET"])
    def view(self, request: http.Request) -> defer.Deferred[bytes]:
        """Returns the list, or status 304 if the caller's ETag matches."""
        return self._serve(request, lambda: self._view(request))

    def _view(self, request: http.Request) -> bytes:
        body = wire_format.encode(self._model.view(_now_ms()))
        etag = hashlib.blake2b(body, digest_size=_ETAG_BYTES).hexdigest()
        if request.setETag(f'"{etag}"'.encode("ascii")) is http.CACHED:
            return b""
        return body

    @app.route("/vms/<vm>", methods=["PUT"])
    def set_vm(self, request: http.Request, vm: str) -> bytes:
        """Adds or replaces the entry of a VM from the JSON body."""
        body = request.content.read()
        entry = msgspec.json.decode(body, type=messages.ListedVm)
        self._model.set_vm(entry, _now_ms())
        return b""

    @app.route("/vms/<vm>", methods=["DELETE"])
    def remove_vm(self, request: http.Request, vm: str) -> bytes:
        """Removes a VM from the list."""
        self._model.remove_vm(ids.VmId(vm), _now_ms())
        return b""

    @app.route("/targets/<name>/state", methods=["PUT"])
    def set_target_state(self, request: http.Request, name: str) -> bytes:
        """Sets the state of a target to the value in the body."""
        state = states.TargetState(request.content.read().decode("ascii"))
        self._model.set_target_state(name, state, _now_ms())
        self._on_target_state(name, state)
        return b""

    @app.route("/timeline", methods=["GET"])
    def timeline(self, request: http.Request) -> bytes:
        """Returns the events emitted by the targets as JSON."""
        return msgspec.json.encode(list(self._timeline))

    @app.route("/faults", methods=["PUT"])
    def set_faults(self, request: http.Request) -> bytes:
        """Replaces the injected faults of this server with the JSON body."""
        return self._set_faults(request)


class WorkerServer(_FaultyServer):
    """Serves a worker over HTTP."""

    app = klein.Klein()

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        model: worker_model.WorkerModel,
    ) -> None:
        """Initializes the server.

        Args:
            reactor: Times injected delays.
            model: The worker.
        """
        super().__init__(reactor=reactor)
        self._model = model

    @app.route(wire_format.ACTS_PATH, methods=["POST"])
    def acts(self, request: http.Request) -> defer.Deferred[bytes]:
        """Executes the acts in the request body."""
        call = wire_format.decode(request.content.read(), messages.WorkerCall)
        return self._serve(
            request,
            lambda: wire_format.encode(self._model.call(call, _now_ms())),
        )

    @app.route("/faults", methods=["PUT"])
    def set_faults(self, request: http.Request) -> bytes:
        """Replaces the injected faults of this server with the JSON body."""
        return self._set_faults(request)


class RunnerServer(_FaultyServer):
    """Serves a runner over HTTP."""

    app = klein.Klein()

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        model: runner_model.RunnerModel,
    ) -> None:
        """Initializes the server.

        Args:
            reactor: Times service and injected delays.
            model: The runner.
        """
        super().__init__(reactor=reactor)
        self._model = model

    @app.route(wire_format.REQUESTS_PATH, methods=["POST"])
    def run(self, request: http.Request) -> defer.Deferred[bytes]:
        """Runs the request in the body and answers when it has ended."""
        spec = wire_format.decode(request.content.read(), jobs.RequestSpec)
        return self._serve(
            request, lambda: defer.ensureDeferred(self._run(spec))
        )

    @app.route("/faults", methods=["PUT"])
    def set_faults(self, request: http.Request) -> bytes:
        """Replaces the injected faults of this server with the JSON body."""
        return self._set_faults(request)

    async def _run(self, spec: jobs.RequestSpec) -> bytes:
        answer = self._model.begin(spec, _now_ms())
        if answer is None:
            service_s = runner_model.service_ms(spec) / _MS_PER_S
            await task.deferLater(self._reactor, service_s)
            answer = self._model.finish(spec.request, _now_ms())
        return wire_format.encode(answer)


class _Targets:
    """The workers and runners of one process by name."""

    def __init__(self, settings: StandinSettings, emit: Emit) -> None:
        epoch_ms = int(time.time_ns() * _MS_PER_NS) - _now_ms()
        saved_progress: dict[ids.JobId, float] = {}
        self.workers = {
            target.name: worker_model.WorkerModel(
                target=target,
                emit=emit,
                epoch_ms=epoch_ms,
                saved_progress=saved_progress,
            )
            for target in settings.workers
        }
        self.runners = {
            target.name: runner_model.RunnerModel(
                target=target, emit=emit, epoch_ms=epoch_ms
            )
            for target in settings.runners
        }

    def set_state(self, name: str, state: states.TargetState) -> None:
        """Makes a target leave, or return, according to its listed state."""
        leaving = state is states.TargetState.LEAVING
        if name in self.workers:
            self.workers[name].set_leaving(leaving)
        if name in self.runners:
            self.runners[name].leaving = leaving


def serve_all(
    settings: StandinSettings,
    reactor: interfaces.IReactorTCP,
    timeline: list[timeline_events.TimelineEvent],
) -> contextlib.ExitStack:
    """Serves the log, the list and every target.

    Args:
        settings: Addresses and initial content.
        reactor: Opens the listening sockets.
        timeline: Receives the events of the targets.

    Returns:
        A stack that stops all listening when it is closed.
    """
    targets = _Targets(settings, timeline.append)
    log_service = log_model.LogModel(retention_ms=settings.log_retention_ms)
    view = messages.PlatformView(
        vms=settings.vms, workers=settings.workers, runners=settings.runners
    )
    vm_list = platform_model.PlatformModel(
        lag_ms=settings.vm_list_lag_ms, view=view
    )
    servers: list[tuple[str, _FaultyServer]] = [
        (settings.log_address, LogServer(reactor=reactor, model=log_service)),
        (
            settings.vm_list_address,
            PlatformServer(
                reactor=reactor,
                model=vm_list,
                timeline=timeline,
                on_target_state=targets.set_state,
            ),
        ),
    ]
    servers += [
        (model.target.address, WorkerServer(reactor=reactor, model=model))
        for model in targets.workers.values()
    ]
    servers += [
        (model.target.address, RunnerServer(reactor=reactor, model=model))
        for model in targets.runners.values()
    ]
    with contextlib.ExitStack() as stack:
        for address, http_server in servers:
            _listen(reactor, address, http_server, stack)
        return stack.pop_all()


def _listen(
    reactor: interfaces.IReactorTCP,
    address: str,
    http_server: _FaultyServer,
    stack: contextlib.ExitStack,
) -> None:
    host, _, port = address.rpartition(":")
    site = server.Site(http_server.app.resource())
    listening = reactor.listenTCP(int(port), site, interface=host)
    stack.callback(listening.stopListening)
