"""The command that merges the time lines of several VMs."""

import click
import msgspec

from citronmount.cli import calls
from citronmount.cli import client as client_lib
from citronmount.cli import options
from citronmount.cli import output
from citronmount.cli import progress
from citronmount.cli import timeline_text
from citronmount.core import errors
from citronmount.service import bodies
from citronmount.telemetry import timeline_events

__all__ = ["timeline"]


class TimelineResult(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of ``timeline``.

    Attributes:
        events: The events of all VMs that answered, oldest first.
        dropped: How many older events their memories have let go.
        unanswered: Servers that did not answer, and why.
    """

    events: tuple[timeline_events.TimelineEvent, ...]
    dropped: int
    unanswered: dict[str, str]


@click.command()
@click.argument("job", required=False)
@click.option("--account", default="", help="Only events of this account.")
@click.option("--target", default="", help="Only events of this target.")
@click.option("--limit", type=click.IntRange(1, 10_000), default=1_000)
@options.connected()
@options.json_option
@output.reports_errors
def timeline(
    job: str | None,
    account: str,
    target: str,
    limit: int,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Show the events of all named servers, or the life of JOB."""
    query = {
        "job": job or "",
        "account": account,
        "target": target,
        "limit": str(limit),
    }
    call = calls.Call(
        method="GET",
        path=("v1", "timeline"),
        query={k: v for k, v in query.items() if v},
    )
    found = connection.run(lambda client: _ask_all(client, call))
    lines = (
        timeline_text.draw_job(job, found.events)
        if job
        else timeline_text.draw_list(found.events)
    )
    output.emit_lines(found, lines, as_json=as_json)
    for why in found.unanswered.values():
        click.echo(f"no events from {why}", err=True)
    if found.dropped:
        click.echo(f"{found.dropped} older events are gone", err=True)
    if len(found.unanswered) == len(connection.servers):
        raise SystemExit(output.Exit.FAILED)


async def _ask_all(
    client: client_lib.Client, call: calls.Call
) -> TimelineResult:
    parts: list[bodies.TimelineBody] = []
    unanswered: dict[str, str] = {}
    with progress.notes() as note:
        for server in client.servers:
            note(f"asking {server}")
            try:
                part = await client.call_server(
                    server, call, bodies.TimelineBody
                )
            except errors.CitronmountError as error:
                unanswered[server] = str(error)
            else:
                parts.append(part)
    by_vm = {part.vm: part for part in parts}
    merged = timeline_text.merged(part.events for part in by_vm.values())
    return TimelineResult(
        events=tuple(merged),
        dropped=sum(part.dropped for part in by_vm.values()),
        unanswered=unanswered,
    )
