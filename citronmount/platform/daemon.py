"""Entry point of one VM's process on the users' platform."""

import os
import sys

import click

from citronmount.clients import http_client
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import job_service
from citronmount.fleet_service import ports
from citronmount.fleet_service import vm_process
from citronmount.fleet_service import vm_settings
from citronmount.platform import job_api
from citronmount.platform import runner_client
from citronmount.platform import settings_file
from citronmount.platform import store_log
from citronmount.platform import topic_records

__all__ = ["PlatformAdapter", "check", "main", "run"]


class PlatformAdapter:
    """The platform's formats, names and protocols; see `vm_process.Adapter`."""

    load = staticmethod(settings_file.load)
    decode = staticmethod(topic_records.decode)

    def log(
        self,
        settings: vm_settings.VmSettings,
        client: http_client.HttpClient,
        member: str,
    ) -> ports.Log:
        """Returns a client of the log in the platform's store."""
        return store_log.StoreLog(
            client=client,
            address=settings.log_address,
            member=member,
        )

    def worker_commands(
        self,
        settings: vm_settings.VmSettings,
        client: http_client.HttpClient,
    ) -> ports.WorkerCommands:
        """Returns a client that sends commands to the platform's runners."""
        return runner_client.RunnerClient(
            client=client, advice_address=settings.advice_address
        )

    def api(self, service: job_service.JobService) -> vm_process.Api:
        """Returns the HTTP interface for the platform's clients."""
        return job_api.JobApi(service=service)


def check(path: str) -> int:
    """Checks a settings file; see `vm_process.check`."""
    return vm_process.check(PlatformAdapter(), path)


def run(
    path: str | None,
    features: frozenset[fleet_configuration.Feature] = frozenset(),
) -> int:
    """Runs the process of one VM; see `vm_process.run` for the exit status.

    The default path is in an environment variable that the platform sets.
    """
    default_path = os.environ.get(settings_file.SETTINGS_VARIABLE, "")
    return vm_process.run(PlatformAdapter(), path or default_path, features)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(),
    help="Settings file; default: the path in CITRONMOUNT_SETTINGS.",
)
@click.option(
    "--check",
    "check_path",
    type=click.Path(),
    help="Check this settings file, print its errors and exit.",
)
@click.option(
    "--enable",
    "enabled",
    multiple=True,
    type=click.Choice([each.value for each in fleet_configuration.Feature]),
    help="Enable a part of scheduling; may be repeated.",
)
def main(
    path: str | None, check_path: str | None, enabled: tuple[str, ...]
) -> None:
    """Runs the process of one VM on the users' platform.

    Exits with status 0 after a planned stop, 1 after a failure and 2 if the
    settings are invalid.
    """
    if check_path:
        sys.exit(check(check_path))
    sys.exit(run(path, frozenset(map(fleet_configuration.Feature, enabled))))
