"""Formats jobs and results as text."""

from collections.abc import Iterator

from citronmount.core import jobs
from citronmount.service import bodies

__all__ = ["format_job", "format_job_list", "format_result"]


def format_job(status: jobs.JobStatus) -> str:
    """Returns one line that describes a job.

    Args:
        status: The status of the job.

    Returns:
        Id, account, state, attempts, durability, workers and result.
    """
    parts = [
        f"{status.job}  {status.account}  {status.state.value}",
        f"attempts {status.attempts}",
        f"kept by {status.durability.value}",
    ]
    if status.workers:
        parts.append(f"on {', '.join(status.workers)}")
    if status.result is not None:
        parts.append(format_result(status.result))
    return "  ".join(parts)


def format_result(result: jobs.JobResult | jobs.RequestResult) -> str:
    """Returns one line that describes a result.

    Args:
        result: The result of a job or a short request.

    Returns:
        Name and number of the result code, and the detail if there is one.
    """
    text = f"{result.code.name} ({int(result.code)})"
    return f"{text}: {result.detail}" if result.detail else text


def format_job_list(listed: bodies.JobsBody) -> Iterator[str]:
    """Yields one line per job and a line with their number and the total.

    Args:
        listed: The jobs listed.

    Yields:
        The lines. A last line names the failure domains that did not answer,
        if there are any.
    """
    yield from map(format_job, listed.jobs)
    yield f"{len(listed.jobs)} of {listed.total} jobs"
    if listed.unanswered:
        yield f"no answer from {', '.join(listed.unanswered)}"
