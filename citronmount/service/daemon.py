"""The daemon ``citronmountd``, which runs once on each VM."""

import signal
import sys
import typing

import click
import structlog
from twisted import logger
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.python import failure

import citronmount
from citronmount.agent import events
from citronmount.service import cleanup
from citronmount.service import http_server
from citronmount.service import listening
from citronmount.service import settings as settings_lib
from citronmount.service import settings_file
from citronmount.service import wiring
from citronmount.telemetry import logs

__all__ = ["main", "serve"]

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


async def serve(
    reactor: interfaces.IReactorCore, settings: settings_lib.Settings
) -> None:
    """Runs the daemon until its drain is complete.

    Args:
        reactor: The reactor of the process.
        settings: The validated settings.

    Raises:
        ExceptionGroup: Some components could not be closed.
    """
    log = structlog.get_logger()
    state_machine = wiring.make_state_machine(settings)
    components = wiring.Components(
        reactor=reactor, settings=settings, state_machine=state_machine
    )
    async with cleanup.CleanupStack() as stack:
        stack.push("platform connections", components.http.close)
        components.peers.open()
        stack.push("peer sockets", components.peers.close)
        stack.push("runtime", components.runtime.stop)
        await _open_api(reactor, settings, components, stack)
        _drain_on_signal(reactor, components)
        components.runtime.start(settings.timing.tick_ms)
        log.info(
            "listening",
            callers=settings.listen.caller_address,
            peers=components.peers.address,
        )
        await components.runtime.exited
        log.info("exiting")


async def _open_api(
    reactor: interfaces.IReactorCore,
    settings: settings_lib.Settings,
    components: wiring.Components,
    stack: cleanup.CleanupStack,
) -> None:
    factory = http_server.make_http_factory(
        components.api.app.resource(), settings.limits.max_body_bytes
    )
    port = await listening.listen(reactor, settings.listen, factory)
    stack.push("caller connections", lambda: factory.close_connections(reactor))
    stack.push("caller port", port.stopListening)


def _drain_on_signal(
    reactor: interfaces.IReactorCore, components: wiring.Components
) -> None:
    """Installs handlers by which SIGTERM and SIGINT start a drain."""

    def drain(signal_number: int, frame: object) -> None:
        reactor.callFromThread(
            components.runtime.dispatch, events.DrainRequested()
        )

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, drain)


def _run(settings: settings_lib.Settings) -> int:
    """Runs the reactor until the daemon exits.

    Args:
        settings: The validated settings.

    Returns:
        The exit status of the process.
    """
    from twisted.internet import reactor

    exit_statuses: list[int] = []

    def finish(result: typing.Any) -> None:
        if isinstance(result, failure.Failure):
            structlog.get_logger().error(
                "daemon_failed", error=result.getTraceback()
            )
            exit_statuses.append(EXIT_FAILED)
        else:
            exit_statuses.append(EXIT_OK)
        reactor.stop()

    def start() -> None:
        defer.ensureDeferred(serve(reactor, settings)).addBoth(finish)

    # Discards Twisted's own log; the daemon logs with structlog.
    logger.globalLogBeginner.beginLoggingTo(
        [], discardBuffer=True, redirectStandardIO=False
    )
    reactor.callWhenRunning(start)
    reactor.run()
    return exit_statuses[0] if exit_statuses else EXIT_FAILED


def _print_errors(group: ExceptionGroup) -> None:
    for error in group.exceptions:
        click.echo(str(error), err=True)


@click.command()
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(),
    help="Run with the settings of this TOML file.",
)
@click.option(
    "--check",
    "check_path",
    type=click.Path(),
    help="Check this TOML file, print every fault and exit.",
)
@click.option(
    "--platform",
    "on_platform",
    is_flag=True,
    help="Run the daemon on the users' platform, or check its settings.",
)
@click.version_option(citronmount.__version__, prog_name="citronmountd")
def main(
    settings_path: str | None, check_path: str | None, on_platform: bool
) -> None:
    """Runs the daemon of one VM.

    The exit status is 0 after a completed drain, 1 after an error and 2 for
    invalid settings.
    """
    if on_platform:
        sys.exit(_run_platform_daemon(settings_path, check_path))
    if check_path is not None:
        sys.exit(_check(check_path))
    if settings_path is None:
        raise click.UsageError("expected --settings FILE or --check FILE")
    try:
        settings = settings_file.load(settings_path)
    except ExceptionGroup as group:
        _print_errors(group)
        sys.exit(EXIT_BAD_SETTINGS)
    logging = settings.logging
    with logs.configure(
        vm=settings.vm.id,
        level=logging.level.value,
        file_path=logging.file_path,
    ):
        status = _run(settings)
    sys.exit(status)


def _run_platform_daemon(
    settings_path: str | None, check_path: str | None
) -> int:
    """Runs the daemon for the users' platform or checks its settings.

    Its modules are imported here, so that they are loaded only with
    ``--platform``.
    """
    from citronmount.platform import daemon as platform_daemon

    if check_path is not None:
        return platform_daemon.check(check_path)
    return platform_daemon.run(settings_path)


def _check(path: str) -> int:
    faults = settings_file.check(path)
    for fault in faults:
        click.echo(str(fault), err=True)
    if faults:
        return EXIT_BAD_SETTINGS
    click.echo(f"{path}: no faults")
    return EXIT_OK


if __name__ == "__main__":
    main()
