"""The command that merges the timelines of several VMs."""

import click
import msgspec

from citronmount.cli import api_client
from citronmount.cli import calls
from citronmount.cli import options
from citronmount.cli import output
from citronmount.cli import progress
from citronmount.cli import timeline_text
from citronmount.core import errors
from citronmount.service import bodies
from citronmount.telemetry import timeline_events

__all__ = ["timeline"]


class TimelineResult(msgspec.Struct, frozen=True, kw_only=True):
    """JSON output of ``timeline``.

    Attributes:
        events: Events of all VMs that answered, oldest first.
        dropped: Number of older events that these VMs no longer retain.
        unanswered: The error message for each server that did not answer or
            refused the call.
    """

    events: tuple[timeline_events.TimelineEvent, ...]
    dropped: int
    unanswered: dict[str, str]


@click.command()
@click.argument("job", required=False)
@click.option("--account", default="", help="Only events of this account.")
@click.option("--target", default="", help="Only events of this target.")
@click.option("--limit", type=click.IntRange(1, 10_000), default=1_000)
@options.server_options()
@options.json_option
@output.handle_errors
def timeline(
    job: str | None,
    account: str,
    target: str,
    limit: int,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Show the events of all given servers, or the timeline of JOB."""
    query = {
        "job": job or "",
        "account": account,
        "target": target,
        "limit": str(limit),
    }
    call = calls.Call(
        method="GET",
        path=("v1", "timeline"),
        query={name: value for name, value in query.items() if value},
    )
    result = connection.run(lambda client: _collect_events(client, call))
    lines = (
        timeline_text.format_job_timeline(job, result.events)
        if job
        else timeline_text.format_events(result.events)
    )
    output.print_lines(result, lines, as_json=as_json)
    for message in result.unanswered.values():
        click.echo(f"no events from {message}", err=True)
    if result.dropped:
        click.echo(
            f"{result.dropped} older events are no longer retained", err=True
        )
    if len(result.unanswered) == len(connection.servers):
        raise SystemExit(output.Exit.FAILED)


async def _collect_events(
    client: api_client.Client, call: calls.Call
) -> TimelineResult:
    timeline_bodies: list[bodies.TimelineBody] = []
    unanswered: dict[str, str] = {}
    with progress.status_line() as show_status:
        for server in client.servers:
            show_status(f"requesting events from {server}")
            try:
                body = await client.call_server(
                    server, call, bodies.TimelineBody
                )
            except errors.CitronmountError as error:
                unanswered[server] = str(error)
            else:
                timeline_bodies.append(body)
    body_by_vm = {body.vm: body for body in timeline_bodies}
    merged_events = timeline_text.merge_events(
        body.events for body in body_by_vm.values()
    )
    return TimelineResult(
        events=tuple(merged_events),
        dropped=sum(body.dropped for body in body_by_vm.values()),
        unanswered=unanswered,
    )
