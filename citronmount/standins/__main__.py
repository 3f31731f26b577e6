"""Serves stand-ins for the platform and its targets over HTTP."""

import pathlib

import click
import msgspec
from twisted.internet import reactor

from citronmount.standins import http_servers

__all__ = ["main"]


@click.command()
@click.argument("settings_path", type=click.Path(exists=True, dir_okay=False))
def main(settings_path: str) -> None:
    """Serves the stand-ins of SETTINGS_PATH until a signal ends it."""
    data = pathlib.Path(settings_path).read_bytes()
    settings = msgspec.toml.decode(data, type=http_servers.StandinSettings)
    with http_servers.serve_all(settings, reactor, []):
        click.echo("ready")
        reactor.run()


if __name__ == "__main__":
    main()
