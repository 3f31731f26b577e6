"""The process of one VM on the users' platform."""

import os
import secrets
import signal
import sys
import time

import click
import structlog
from twisted import logger
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.internet import task
from twisted.python import failure
from twisted.web import server

from citronmount.fleet import sessions
from citronmount.fleet_service import node as node_lib
from citronmount.platform import entries
from citronmount.platform import job_api
from citronmount.platform import log as log_lib
from citronmount.platform import runners
from citronmount.platform import settings as settings_lib
from citronmount.service import closing
from citronmount.service import site
from citronmount.services import exchange
from citronmount.telemetry import logs

__all__ = ["main"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
MAX_BODY_BYTES = 262_144
LEASE_MS = 7_000
LEASE_MARGIN_MS = 200
CLOSE_BEFORE_KILL_S = 2.0
CLOSE_IDLE_S = 0.7
PROCESS_NONCE_BYTES = 4
OWNER_PROCESSOR_SHARE = 1.0


async def serve(
    reactor: interfaces.IReactorCore, settings: settings_lib.Settings
) -> None:
    """Runs the parts of one VM until SIGTERM.

    Args:
        reactor: The reactor of the process.
        settings: The settings.

    Raises:
        ExceptionGroup: Parts could not be closed.
    """
    http = exchange.Exchange(reactor=reactor)
    node = _node(reactor, settings, http)
    api = job_api.JobApi(front=node.front)
    terminated: defer.Deferred[None] = defer.Deferred()
    _on_sigterm(reactor, terminated)
    async with closing.ClosingStack() as stack:
        stack.push("platform connections", http.close)
        factory = site.make_factory(api.app.resource(), MAX_BODY_BYTES)
        port = await _listen(reactor, settings.caller_address, factory)
        stack.push(
            "caller connections", lambda: factory.close_connections(reactor)
        )
        stack.push("caller port", port.stopListening)
        ready = server.Site(job_api.ReadyResource(ready=lambda: node.ready))
        await _listen(reactor, settings.ready_address, ready)
        node.start()
        stack.push("node", node.stop)
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
    settings: settings_lib.Settings,
    http: exchange.Exchange,
) -> node_lib.Node:
    lease_ms = min(LEASE_MS, settings.bounds.max_lease_ms - LEASE_MARGIN_MS)
    policy = sessions.LeasePolicy(
        lease_ms=lease_ms,
        max_lease_ms=settings.bounds.max_lease_ms,
        stop_ms=settings.bounds.stop_ms,
    )
    member = f"{settings.vm}/{secrets.token_hex(PROCESS_NONCE_BYTES)}"
    log = log_lib.StoreLog(
        connections=http, address=settings.log_address, member=member
    )
    return node_lib.Node(
        clock=reactor,
        log=log,
        worker_orders=runners.RunnerOrders(connections=http),
        decode=entries.decode,
        bounds=settings.bounds,
        policy=policy,
        capable=settings.processor_share >= OWNER_PROCESSOR_SHARE,
    )


def _listen(
    reactor: interfaces.IReactorTCP,
    address: str,
    factory: interfaces.IProtocolFactory,
) -> defer.Deferred[interfaces.IListeningPort]:
    host, _, port = address.rpartition(":")
    endpoint = endpoints.TCP4ServerEndpoint(reactor, int(port), interface=host)
    return endpoint.listen(factory)


def _on_sigterm(
    reactor: interfaces.IReactorCore, terminated: defer.Deferred[None]
) -> None:
    def fire() -> None:
        if not terminated.called:
            terminated.callback(None)

    def terminate(number: int, frame: object) -> None:
        reactor.callFromThread(fire)

    signal.signal(signal.SIGTERM, terminate)
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def _run(settings: settings_lib.Settings) -> int:
    """Runs the reactor on the steady clock until the process has ended."""
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
        defer.ensureDeferred(serve(reactor, settings)).addBoth(end)

    logger.globalLogBeginner.beginLoggingTo(
        [], discardBuffer=True, redirectStandardIO=False
    )
    reactor.callWhenRunning(start)
    reactor.run(installSignalHandlers=False)
    return statuses[0] if statuses else EXIT_FAILED


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(),
    help="The settings file, instead of the one that the platform names.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(path: str | None, check: bool) -> None:
    """Runs the process of one VM on the users' platform.

    Exits with 0 after a planned stop, 1 after a fault and 2 if the settings
    are faulty.
    """
    path = path or os.environ.get(settings_lib.SETTINGS_VARIABLE, "")
    try:
        settings = settings_lib.load(path)
    except settings_lib.SettingsError as error:
        click.echo(f"{path}: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{path}: no faults")
        return
    with logs.configure(vm=settings.vm, level="INFO", file_path=None):
        status = _run(settings)
    sys.exit(status)
