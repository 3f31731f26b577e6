"""The process of one VM on the users' platform."""

import os
import sys

import click

from citronmount.clients import http_client
from citronmount.fleet_service import job_service
from citronmount.fleet_service import ports
from citronmount.fleet_service import vm_process
from citronmount.fleet_service import vm_settings
from citronmount.platform import entries
from citronmount.platform import job_api
from citronmount.platform import log as log_lib
from citronmount.platform import runners
from citronmount.platform import settings as settings_lib

__all__ = ["UsersPlatform", "check", "main", "run"]


class UsersPlatform:
    """The parts of a VM that speak to the platform; see `Adapter`."""

    def load(self, path: str) -> vm_settings.VmSettings:
        """Reads a settings file."""
        return settings_lib.load(path)

    def log(
        self,
        settings: vm_settings.VmSettings,
        connections: http_client.HttpClient,
        member: str,
    ) -> ports.Log:
        """Returns the platform's store as the log."""
        return log_lib.StoreLog(
            connections=connections,
            address=settings.log_address,
            member=member,
        )

    def worker_commands(
        self,
        settings: vm_settings.VmSettings,
        connections: http_client.HttpClient,
    ) -> ports.WorkerCommands:
        """Returns the orders that the platform's runners take."""
        return runners.RunnerOrders(
            connections=connections, advice_address=settings.advice_address
        )

    def decode(
        self, topic: ports.Topic, record: ports.LogRecord
    ) -> ports.LogEvent | None:
        """Decodes a record of the operators or the runners."""
        return entries.decode(topic, record)

    def api(self, service: job_service.JobService) -> vm_process.Api:
        """Returns the interface that the platform's clients call."""
        return job_api.JobApi(front=service)


def check(path: str) -> int:
    """Checks a settings file; see `vm_process.check`."""
    return vm_process.check(UsersPlatform(), path)


def run(path: str | None) -> int:
    """Runs the process of one VM until it is stopped.

    Args:
        path: The settings file, or None for the one the platform names.

    Returns:
        The exit status; see `vm_process.run`.
    """
    named = os.environ.get(settings_lib.SETTINGS_VARIABLE, "")
    return vm_process.run(UsersPlatform(), path or named)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(),
    help="The settings file, instead of the one that the platform names.",
)
@click.option(
    "--check",
    "check_path",
    type=click.Path(),
    help="Check this settings file, print what is wrong and exit.",
)
def main(path: str | None, check_path: str | None) -> None:
    """Runs the process of one VM on the users' platform.

    Exits with 0 after a planned stop, 1 after a fault and 2 if the settings
    are faulty.
    """
    sys.exit(check(check_path) if check_path else run(path))
