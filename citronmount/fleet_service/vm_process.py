"""The process of one VM of a pool: serves clients and shuts down gracefully."""

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
from citronmount.fleet import fleet_configuration
from citronmount.fleet.workers import lease_sessions
from citronmount.fleet_service import job_service
from citronmount.fleet_service import pool_vm
from citronmount.fleet_service import ports
from citronmount.fleet_service import run_time_metrics
from citronmount.fleet_service import settings_reloader
from citronmount.fleet_service import status_resources
from citronmount.fleet_service import vm_settings
from citronmount.service import cleanup
from citronmount.service import http_server
from citronmount.telemetry import bounded_sink
from citronmount.telemetry import event_metrics
from citronmount.telemetry import logs
from citronmount.telemetry import metrics_registry
from citronmount.telemetry import process_usage

__all__ = ["Adapter", "Api", "check", "run"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
MAX_BODY_BYTES = 262_144
LEASE_MS = 7_000
LEASE_MARGIN_MS = 200
CLOSE_BEFORE_KILL_S = 2.0
CONNECTION_CLOSE_S = 0.7
RELOAD_PERIOD_S = 5.0
PROCESS_NONCE_BYTES = 4
OWNER_PROCESSOR_SHARE = 1.0


class Api(typing.Protocol):
    """The interface for clients that an adapter provides.

    Attributes:
        closing: Whether to close each connection after its response.
    """

    closing: bool

    def resource(self) -> resource.Resource:
        """Returns the root of the interface."""


class Adapter(typing.Protocol):
    """The parts that are specific to a site: formats, names and protocols."""

    def load(self, path: str) -> vm_settings.VmSettings:
        """Reads a settings file.

        Raises:
            SettingsError: The file cannot be read or decoded.
        """

    def log(
        self,
        settings: vm_settings.VmSettings,
        client: http_client.HttpClient,
        member: str,
    ) -> ports.Log:
        """Returns the site's log."""

    def worker_commands(
        self,
        settings: vm_settings.VmSettings,
        client: http_client.HttpClient,
    ) -> ports.WorkerCommands:
        """Returns a client that sends commands to the site's workers."""

    def decode(
        self, topic: ports.Topic, record: ports.LogRecord
    ) -> ports.LogEvent | None:
        """Decodes a record that operators or workers have written.

        Returns:
            The event, or None for a record without an event for the pool.
        """

    def api(self, service: job_service.JobService) -> Api:
        """Returns the interface for clients."""


async def serve(
    reactor: interfaces.IReactorCore,
    adapter: Adapter,
    path: str,
    settings: vm_settings.VmSettings,
    registry: metrics_registry.MetricsRegistry,
    features: frozenset[fleet_configuration.Feature],
) -> None:
    """Runs one VM until SIGTERM, then shuts it down gracefully.

    After SIGTERM the VM reports that it is not ready and lets another one take
    over the pool. It answers calls for another
    `stop_grace_s - CLOSE_BEFORE_KILL_S`, then closes each connection after its
    response, and closes those that remain after `CONNECTION_CLOSE_S`.

    Args:
        reactor: The reactor of the process.
        adapter: The parts that are specific to the site.
        path: The settings file.
        settings: The settings.
        registry: The metrics of the process.
        features: Enabled parts of scheduling.

    Raises:
        ExceptionGroup: Some resources could not be closed.
    """
    client = http_client.HttpClient(reactor=reactor)
    member = f"{settings.vm}/{secrets.token_hex(PROCESS_NONCE_BYTES)}"
    log = adapter.log(settings, client, member)
    vm = _make_pool_vm(reactor, adapter, settings, client, log, features)
    registry.register_gauge_group(vm.account_gauges)
    reloader = settings_reloader.SettingsReloader(
        path=path,
        load=adapter.load,
        settings=settings,
        on_address=log.use_address,
    )
    registry.register_gauge("owns_pool", lambda: vm.owns_pool)
    registry.register_gauge("ready", lambda: vm.ready)
    run_time_metrics.register(registry, lambda: vm.run_times)
    registry.register_gauge("recorded_speeds", lambda: vm.recorded_speed_count)
    api = adapter.api(vm.job_service)
    terminated: defer.Deferred[None] = defer.Deferred()
    _install_signal_handlers(reactor, terminated, reloader)
    async with cleanup.CleanupStack() as stack:
        stack.push("platform connections", client.close)
        factory = http_server.make_http_factory(api.resource(), MAX_BODY_BYTES)
        port = await _listen(reactor, settings.caller_address, factory)
        stack.push(
            "caller connections", lambda: factory.close_connections(reactor)
        )
        stack.push("caller port", port.stopListening)
        ready_factory = server.Site(
            status_resources.ReadinessResource(ready=lambda: vm.ready)
        )
        await _listen(reactor, settings.ready_address, ready_factory)
        await _listen_for_metrics(reactor, settings, registry)
        vm.start()
        stack.push("node", vm.stop)
        watcher = task.LoopingCall(reloader.check)
        watcher.clock = reactor
        watcher.start(RELOAD_PERIOD_S, now=False)
        stack.push("settings watcher", watcher.stop)
        structlog.get_logger().info(
            "started", failure_domain=settings.failure_domain
        )
        await terminated
        structlog.get_logger().info("stopping")
        await vm.drain(settings.stop_grace_s - CLOSE_BEFORE_KILL_S)
        api.closing = True
        await task.deferLater(reactor, CONNECTION_CLOSE_S)
    structlog.get_logger().info("stopped")


def _make_pool_vm(
    reactor: interfaces.IReactorCore,
    adapter: Adapter,
    settings: vm_settings.VmSettings,
    client: http_client.HttpClient,
    log: ports.Log,
    features: frozenset[fleet_configuration.Feature],
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
        worker_commands=adapter.worker_commands(settings, client),
        decode=adapter.decode,
        bounds=settings.bounds,
        features=features,
        policy=policy,
        sized_for_ownership=settings.processor_share >= OWNER_PROCESSOR_SHARE,
    )


async def _listen_for_metrics(
    reactor: interfaces.IReactorTCP,
    settings: vm_settings.VmSettings,
    registry: metrics_registry.MetricsRegistry,
) -> None:
    """Serves metrics.

    If the port cannot be bound, the VM runs without serving metrics.
    """
    site_factory = server.Site(
        status_resources.MetricsResource(registry=registry)
    )
    try:
        await _listen(reactor, settings.metrics_address, site_factory)
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


def _install_signal_handlers(
    reactor: interfaces.IReactorCore,
    terminated: defer.Deferred[None],
    reloader: settings_reloader.SettingsReloader,
) -> None:
    def set_terminated() -> None:
        if not terminated.called:
            terminated.callback(None)

    def terminate(signum: int, frame: object) -> None:
        reactor.callFromThread(set_terminated)

    def reload(signum: int, frame: object) -> None:
        reactor.callFromThread(reloader.reload)

    signal.signal(signal.SIGTERM, terminate)
    signal.signal(signal.SIGHUP, reload)


def _run_reactor(
    serve_until_stopped: Callable[..., typing.Awaitable[None]],
) -> int:
    """Runs the reactor until the coroutine has finished.

    The reactor uses the monotonic clock: by default Twisted schedules its
    calls by the time of day, which can jump.

    Args:
        serve_until_stopped: Called with the reactor; returns the coroutine.

    Returns:
        The exit status of the process.
    """
    from twisted.internet import reactor

    reactor.seconds = time.monotonic
    exit_statuses: list[int] = []

    def on_finished(result: object) -> None:
        if isinstance(result, failure.Failure):
            structlog.get_logger().error(
                "process_failed", error=result.getTraceback()
            )
            exit_statuses.append(EXIT_FAILED)
        else:
            exit_statuses.append(EXIT_OK)
        reactor.stop()

    def start() -> None:
        defer.ensureDeferred(serve_until_stopped(reactor)).addBoth(on_finished)

    logger.globalLogBeginner.beginLoggingTo(
        [], discardBuffer=True, redirectStandardIO=False
    )
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return exit_statuses[0] if exit_statuses else EXIT_FAILED


def check(adapter: Adapter, path: str) -> int:
    """Checks a settings file and prints whether it is valid.

    Args:
        adapter: The parts that are specific to the site.
        path: The file.

    Returns:
        The exit status: 0, or 2 if the file is invalid.
    """
    try:
        adapter.load(path)
    except vm_settings.SettingsError as error:
        click.echo(f"{path}: {error}", err=True)
        return EXIT_BAD_SETTINGS
    click.echo(f"{path}: no faults")
    return EXIT_OK


def run(
    adapter: Adapter,
    path: str,
    features: frozenset[fleet_configuration.Feature] = frozenset(),
) -> int:
    """Runs the process of one VM until it is stopped.

    Args:
        adapter: The parts that are specific to the site.
        path: The settings file.
        features: Enabled parts of scheduling.

    Returns:
        The exit status: 0 after SIGTERM, 1 after an internal error and 2 if
        the settings are invalid.
    """
    try:
        settings = adapter.load(path)
    except vm_settings.SettingsError as error:
        click.echo(f"{path}: {error}", err=True)
        return EXIT_BAD_SETTINGS
    registry = metrics_registry.MetricsRegistry()
    sink = bounded_sink.BoundedSink(descriptor=sys.stdout.fileno())
    registry.register_gauge("log_lines_dropped", lambda: sink.dropped_lines)
    registry.register_gauge("resident_bytes", process_usage.resident_bytes)
    registry.register_gauge("processor_s", process_usage.processor_s)
    with logs.configure(
        vm=settings.vm,
        level="INFO",
        file_path=None,
        stream=sink,
        event_processor=event_metrics.EventMetrics(metrics=registry),
    ):
        return _run_reactor(
            lambda reactor: serve(
                reactor, adapter, path, settings, registry, features
            )
        )
