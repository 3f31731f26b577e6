"""The commands for jobs and short requests."""

import uuid

import click
import msgspec

from citronmount.cli import calls
from citronmount.cli import client as client_lib
from citronmount.cli import job_text
from citronmount.cli import options
from citronmount.cli import output
from citronmount.cli import progress
from citronmount.core import codes
from citronmount.core import jobs
from citronmount.core import states
from citronmount.service import bodies

__all__ = ["cancel", "request", "status", "submit"]

_POLL_MS = 10_000
_MS_PER_S = 1_000
_ANSWER_MARGIN_MS = 10_000
_JOBS = ("v1", "jobs")

_wait_option = click.option(
    "--wait", is_flag=True, help="Wait for the final result."
)


@click.command()
@click.argument("account")
@click.argument("command", default="")
@click.option("--tasks", type=click.IntRange(1), default=1, show_default=True)
@click.option(
    "--accelerators",
    type=click.IntRange(0),
    default=1,
    show_default=True,
    help="Whole accelerators of each task.",
)
@click.option("--cores", type=click.IntRange(0), default=0)
@click.option("--memory-gb", type=click.IntRange(0), default=0)
@click.option(
    "--adjacency",
    type=click.Choice([member.value for member in states.Adjacency]),
    default=states.Adjacency.FAILURE_DOMAIN.value,
    show_default=True,
    help="The smallest enclosure that must hold all tasks.",
)
@click.option("--run-time-s", type=float, default=60.0, show_default=True)
@click.option("--deadline-ms", type=int, help="End limit in ms since 1970.")
@click.option("--urgent", is_flag=True, help="Go before the account's others.")
@click.option(
    "--once", is_flag=True, help="Never run it again after it has started."
)
@click.option("--key", default="", help="Idempotency key; made if absent.")
@click.option(
    "--retry-for-s",
    type=click.FloatRange(0, 86_400),
    default=0.0,
    help="Submit again for so long after refusals that may pass.",
)
@_wait_option
@options.connected()
@options.json_option
@output.reports_errors
def submit(
    account: str,
    command: str,
    tasks: int,
    accelerators: int,
    cores: int,
    memory_gb: int,
    adjacency: str,
    run_time_s: float,
    deadline_ms: int | None,
    urgent: bool,
    once: bool,
    key: str,
    retry_for_s: float,
    wait: bool,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Submit a job of ACCOUNT that runs COMMAND in each task."""
    body = bodies.JobBody(
        account=account,
        tasks=tasks,
        per_task=bodies.ResourcesBody(
            accelerators=accelerators, cores=cores, memory_gb=memory_gb
        ),
        adjacency=states.Adjacency(adjacency),
        run_time_s=run_time_s,
        deadline_ms=deadline_ms,
        urgent=urgent,
        idempotent=not once,
        idempotency_key=key or uuid.uuid4().hex,
        command=command,
    )
    call = calls.Call(method="POST", path=_JOBS, body=msgspec.json.encode(body))

    async def main(client: client_lib.Client) -> jobs.JobStatus:
        patience_ms = round(retry_for_s * _MS_PER_S)
        found = await client.call_patiently(call, jobs.JobStatus, patience_ms)
        return await _final(client, found) if wait else found

    _show_job(connection.run(main), as_json)


@click.command()
@click.argument("job", required=False)
@click.option("--account", default="", help="Only jobs of this account.")
@click.option(
    "--failure-domain", default="", help="Only jobs of this failure domain."
)
@click.option("--limit", type=click.IntRange(1, 10_000), default=100)
@_wait_option
@options.connected()
@options.json_option
@output.reports_errors
def status(
    job: str | None,
    account: str,
    failure_domain: str,
    limit: int,
    wait: bool,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Show the state of JOB, or list jobs."""
    if job is not None:

        async def one(client: client_lib.Client) -> jobs.JobStatus:
            found = await client.call(_get(job), jobs.JobStatus)
            return await _final(client, found) if wait else found

        _show_job(connection.run(one), as_json)
        return
    found = connection.run(
        lambda client: _list_jobs(client, account, failure_domain, limit)
    )
    output.emit_lines(found, job_text.table(found), as_json=as_json)


@click.command()
@click.argument("job", required=False)
@click.option("--account", default="", help="Cancel all jobs of this account.")
@click.option(
    "--failure-domain", default="", help="Only those of this failure domain."
)
@options.connected()
@options.json_option
@output.reports_errors
def cancel(
    job: str | None,
    account: str,
    failure_domain: str,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Cancel JOB, or every job of an account."""
    if (job is None) == (not account):
        raise click.UsageError("give either JOB or --account NAME")
    if job is not None:
        call = calls.Call(method="DELETE", path=(*_JOBS, job))
        found = connection.run(lambda c: c.call(call, jobs.JobStatus))
        output.emit(found, job_text.line(found), as_json=as_json)
        return
    query = {"account": account}
    if failure_domain:
        query["failure_domain"] = failure_domain
    call = calls.Call(method="DELETE", path=_JOBS, query=query)
    listed = connection.run(lambda c: c.call(call, bodies.JobsBody))
    output.emit_lines(listed, job_text.table(listed), as_json=as_json)


@click.command()
@click.argument("account")
@click.argument("payload", default="")
@click.option(
    "--timeout-ms",
    type=click.IntRange(1, 600_000),
    default=5_000,
    show_default=True,
)
@click.option("--once", is_flag=True, help="Run it at most once; needs a key.")
@click.option("--key", default="", help="Idempotency key of the request.")
@options.connected()
@options.json_option
@output.reports_errors
def request(
    account: str,
    payload: str,
    timeout_ms: int,
    once: bool,
    key: str,
    connection: options.Connection,
    as_json: bool,
) -> None:
    """Send a short request of ACCOUNT with PAYLOAD and print the answer."""
    if once and not key:
        raise click.UsageError("--once needs --key, so that a retry is known")
    body = bodies.RequestBody(
        account=account,
        request=uuid.uuid4().hex,
        payload=payload,
        timeout_ms=timeout_ms,
        idempotent=not once,
        idempotency_key=key,
    )
    call = calls.Call(
        method="POST",
        path=("v1", "requests"),
        body=msgspec.json.encode(body),
        timeout_ms=timeout_ms + _ANSWER_MARGIN_MS,
    )
    found = connection.run(lambda c: c.call(call, jobs.RequestResult))
    if found.code is codes.ResultCode.DONE:
        output.emit(found, found.payload, as_json=as_json)
        return
    output.emit(found, job_text.result_line(found), as_json=as_json)
    raise SystemExit(output.exit_of(found.code))


async def _list_jobs(
    client: client_lib.Client, account: str, failure_domain: str, limit: int
) -> bodies.JobsBody:
    """Lists the jobs of one failure domain, or of all."""
    query = {
        "account": account,
        "failure_domain": failure_domain,
        "limit": str(limit),
    }
    call = calls.Call(method="GET", path=_JOBS, query=query)
    return await client.call(call, bodies.JobsBody)


def _get(job: str, wait_ms: int = 0) -> calls.Call:
    return calls.Call(
        method="GET",
        path=(*_JOBS, job),
        query={"wait_ms": str(wait_ms)},
        timeout_ms=wait_ms + _ANSWER_MARGIN_MS,
    )


async def _final(
    client: client_lib.Client, found: jobs.JobStatus
) -> jobs.JobStatus:
    """Polls a job until it has its final result."""
    with progress.notes() as note:
        while not found.state.final:
            note(job_text.line(found))
            found = await client.call(_get(found.job, _POLL_MS), jobs.JobStatus)
    return found


def _show_job(found: jobs.JobStatus, as_json: bool) -> None:
    output.emit(found, job_text.line(found), as_json=as_json)
    if found.result is not None:
        raise SystemExit(output.exit_of(found.result.code))
