"""The process of one VM of a pool: listens, serves and stops as planned."""

from collections.abc import Callable
import secrets
import signal
import sys
import time
import typing

import click
import structlog
from twisted import logger
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import error
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure
from twisted.web import resource
from twisted.web import server

from citronmount.clients import http_client
from citronmount.fleet import lease_sessions
from citronmount.fleet_service import job_service
from citronmount.fleet_service import pages
from citronmount.fleet_service import pool_vm
from citronmount.fleet_service import ports
from citronmount.fleet_service import reloading
from citronmount.fleet_service import vm_settings
from citronmount.service import cleanup
from citronmount.service import http_server
from citronmount.telemetry import bounded_sink
from citronmount.telemetry import event_metrics
from citronmount.telemetry import logs
from citronmount.telemetry import metrics as metrics_lib
from citronmount.telemetry import process

__all__ = ["Adapter", "Api", "check", "run"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
MAX_BODY_BYTES = 262_144
LEASE_MS = 7_000
LEASE_MARGIN_MS = 200
CLOSE_BEFORE_KILL_S = 2.0
CLOSE_IDLE_S = 0.7
RELOAD_PERIOD_S = 5.0
PROCESS_NONCE_BYTES = 4
OWNER_PROCESSOR_SHARE = 1.0


class Api(typing.Protocol):
    """The interface for callers that an adapter makes.

    Attributes:
        closing: Whether each connection is closed after its answer.
    """

    closing: bool

    def resource(self) -> resource.Resource:
        """Returns the root of the interface."""


class Adapter(typing.Protocol):
    """What differs from site to site: formats, names and calls."""

    def load(self, path: str) -> vm_settings.VmSettings:
        """Reads a settings file.

        Raises:
            SettingsError: It cannot be read or says too little.
        """

    def log(
        self,
        settings: vm_settings.VmSettings,
        connections: http_client.HttpClient,
        member: str,
    ) -> ports.Log:
        """Returns the site's log."""

    def worker_commands(
        self,
        settings: vm_settings.VmSettings,
        connections: http_client.HttpClient,
    ) -> ports.WorkerCommands:
        """Returns the orders that the site's workers take."""

    def decode(
        self, topic: ports.Topic, record: ports.LogRecord
    ) -> ports.LogEvent | None:
        """Decodes a record of the operators or the workers."""

    def api(self, service: job_service.JobService) -> Api:
        """Returns the interface for callers."""


async def serve(
    reactor: interfaces.IReactorCore,
    adapter: Adapter,
    path: str,
    settings: vm_settings.VmSettings,
    metrics: metrics_lib.Metrics,
) -> None:
    """Runs the parts of one VM until SIGTERM.

    Args:
        reactor: The reactor of the process.
        adapter: What differs from site to site.
        path: The settings file.
        settings: The settings.
        metrics: What the process measures.

    Raises:
        ExceptionGroup: Parts could not be closed.
    """
    http = http_client.HttpClient(reactor=reactor)
    member = f"{settings.vm}/{secrets.token_hex(PROCESS_NONCE_BYTES)}"
    log = adapter.log(settings, http, member)
    node = _node(reactor, adapter, settings, http, log)
    reloader = reloading.Reloader(
        path=path,
        load=adapter.load,
        settings=settings,
        on_address=log.use_address,
    )
    metrics.gauge("owns_pool", lambda: node.owns_pool)
    metrics.gauge("ready", lambda: node.ready)
    api = adapter.api(node.job_service)
    terminated: defer.Deferred[None] = defer.Deferred()
    _on_signals(reactor, terminated, reloader)
    async with cleanup.CleanupStack() as stack:
        stack.push("platform connections", http.close)
        factory = http_server.make_http_factory(api.resource(), MAX_BODY_BYTES)
        port = await _listen(reactor, settings.caller_address, factory)
        stack.push(
            "caller connections", lambda: factory.close_connections(reactor)
        )
        stack.push("caller port", port.stopListening)
        ready = server.Site(pages.ReadyPage(ready=lambda: node.ready))
        await _listen(reactor, settings.ready_address, ready)
        await _listen_for_metrics(reactor, settings, metrics)
        node.start()
        stack.push("node", node.stop)
        watcher = task.LoopingCall(reloader.check)
        watcher.clock = reactor
        watcher.start(RELOAD_PERIOD_S, now=False)
        stack.push("settings watcher", watcher.stop)
        structlog.get_logger().info(
            "started", failure_domain=settings.failure_domain
        )
        await terminated
        structlog.get_logger().info("stopping")
        node.start_draining()
        await node.give_up()
        await task.deferLater(
            reactor, settings.stop_grace_s - CLOSE_BEFORE_KILL_S
        )
        api.closing = True
        await task.deferLater(reactor, CLOSE_IDLE_S)
    structlog.get_logger().info("stopped")


def _node(
    reactor: interfaces.IReactorCore,
    adapter: Adapter,
    settings: vm_settings.VmSettings,
    http: http_client.HttpClient,
    log: ports.Log,
) -> pool_vm.PoolVm:
    lease_ms = min(LEASE_MS, settings.bounds.max_lease_ms - LEASE_MARGIN_MS)
    policy = lease_sessions.LeasePolicy(
        lease_ms=lease_ms,
        max_lease_ms=settings.bounds.max_lease_ms,
        stop_ms=settings.bounds.stop_ms,
    )
    return pool_vm.PoolVm(
        clock=reactor,
        log=log,
        worker_commands=adapter.worker_commands(settings, http),
        decode=adapter.decode,
        bounds=settings.bounds,
        policy=policy,
        capable=settings.processor_share >= OWNER_PROCESSOR_SHARE,
    )


async def _listen_for_metrics(
    reactor: interfaces.IReactorTCP,
    settings: vm_settings.VmSettings,
    metrics: metrics_lib.Metrics,
) -> None:
    """Serves metrics; a port that is taken costs only the metrics."""
    page = server.Site(pages.MetricsPage(metrics=metrics))
    try:
        await _listen(reactor, settings.metrics_address, page)
    except error.CannotListenError as reason:
        structlog.get_logger().warning("metrics_off", error=str(reason))


def _listen(
    reactor: interfaces.IReactorTCP,
    address: str,
    factory: interfaces.IProtocolFactory,
) -> defer.Deferred[interfaces.IListeningPort]:
    host, _, port = address.rpartition(":")
    endpoint = endpoints.TCP4ServerEndpoint(reactor, int(port), interface=host)
    return endpoint.listen(factory)


def _on_signals(
    reactor: interfaces.IReactorCore,
    terminated: defer.Deferred[None],
    reloader: reloading.Reloader,
) -> None:
    def fire() -> None:
        if not terminated.called:
            terminated.callback(None)

    def terminate(number: int, frame: object) -> None:
        reactor.callFromThread(fire)

    def reload(number: int, frame: object) -> None:
        reactor.callFromThread(reloader.reload)

    signal.signal(signal.SIGTERM, terminate)
    signal.signal(signal.SIGHUP, reload)


def _run(serving: Callable[..., typing.Awaitable[None]]) -> int:
    """Runs the reactor on the steady clock until the process has ended.

    Twisted times its calls by the time of day, which jumps.
    """
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    statuses: list[int] = []

    def end(result: object) -> None:
        if isinstance(result, failure.Failure):
            structlog.get_logger().error(
                "process_failed", error=result.getTraceback()
            )
            statuses.append(EXIT_FAILED)
        else:
            statuses.append(EXIT_OK)
        reactor.stop()

    def start() -> None:
        defer.ensureDeferred(serving(reactor)).addBoth(end)

    logger.globalLogBeginner.beginLoggingTo(
        [], discardBuffer=True, redirectStandardIO=False
    )
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return statuses[0] if statuses else EXIT_FAILED


def check(adapter: Adapter, path: str) -> int:
    """Checks a settings file and prints what is wrong with it.

    Args:
        adapter: What differs from site to site.
        path: The file.

    Returns:
        The exit status: 0, or 2 if the file is faulty.
    """
    try:
        adapter.load(path)
    except vm_settings.SettingsError as error:
        click.echo(f"{path}: {error}", err=True)
        return EXIT_BAD_SETTINGS
    click.echo(f"{path}: no faults")
    return EXIT_OK


def run(adapter: Adapter, path: str) -> int:
    """Runs the process of one VM until it is stopped.

    Args:
        adapter: What differs from site to site.
        path: The settings file.

    Returns:
        The exit status: 0 after a planned stop, 1 after a fault and 2 if the
        settings are faulty.
    """
    try:
        settings = adapter.load(path)
    except vm_settings.SettingsError as error:
        click.echo(f"{path}: {error}", err=True)
        return EXIT_BAD_SETTINGS
    metrics = metrics_lib.Metrics()
    sink = bounded_sink.BoundedSink(descriptor=sys.stdout.fileno())
    metrics.gauge("log_lines_dropped", lambda: sink.dropped)
    metrics.gauge("resident_bytes", process.resident_bytes)
    metrics.gauge("processor_s", process.processor_s)
    with logs.configure(
        vm=settings.vm,
        level="INFO",
        file_path=None,
        stream=sink,
        count=event_metrics.EventCounter(metrics=metrics),
    ):
        return _run(
            lambda reactor: serve(reactor, adapter, path, settings, metrics)
        )
