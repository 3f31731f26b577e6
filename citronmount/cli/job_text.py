"""Jobs and results as text for people."""

from collections.abc import Iterator

from citronmount.core import jobs
from citronmount.service import bodies

__all__ = ["line", "result_line", "table"]


def line(status: jobs.JobStatus) -> str:
    """Returns one line about a job.

    Args:
        status: The job.

    Returns:
        Its id, account, state, attempts, workers and result.
    """
    parts = [
        f"{status.job}  {status.account}  {status.state.value}",
        f"attempts {status.attempts}",
        f"kept by {status.durability.value}",
    ]
    if status.workers:
        parts.append(f"on {', '.join(status.workers)}")
    if status.result is not None:
        parts.append(result_line(status.result))
    return "  ".join(parts)


def result_line(result: jobs.JobResult | jobs.RequestResult) -> str:
    """Returns one line about a result.

    Args:
        result: Of a job or a short request.

    Returns:
        The name and number of its code, and its detail.
    """
    text = f"{result.code.name} ({int(result.code)})"
    return f"{text}: {result.detail}" if result.detail else text


def table(listed: bodies.JobsBody) -> Iterator[str]:
    """Yields one line a job and how many there are.

    Args:
        listed: The jobs.

    Yields:
        The lines.
    """
    yield from map(line, listed.jobs)
    yield f"{len(listed.jobs)} of {listed.total} jobs"
    if listed.unanswered:
        yield f"no answer from {', '.join(listed.unanswered)}"
