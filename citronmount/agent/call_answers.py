"""Answers to callers' calls, and what an answer proves about a call."""

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages

__all__ = [
    "cannot_start_now",
    "failure",
    "is_not_owner",
    "merge_job_lists",
    "submission_outcome_unknown",
]

RETRY_AFTER_MS = 2_000


def failure(code: codes.ResultCode, detail: str = "") -> peer_messages.Failure:
    """Returns the answer to a call that cannot be served.

    Args:
        code: Result code of the failure.
        detail: Additional text for an operator.

    Returns:
        The answer, with a retry delay if the code allows a retry.
    """
    retry = codes.info(code).retry
    return peer_messages.Failure(
        result=jobs.JobResult(code=code, detail=detail),
        retry_after_ms=RETRY_AFTER_MS if retry else None,
    )


def is_not_owner(answer: peer_messages.Answer) -> bool:
    """Returns whether an answer shows that its sender is not the owner.

    Args:
        answer: The answer of the VM that was taken for the owner.
    """
    return (
        isinstance(answer, peer_messages.Failure)
        and answer.result.code is codes.ResultCode.REBUILDING
    )


def cannot_start_now(answer: peer_messages.Answer) -> bool:
    """Returns whether an eager submission cannot start where it was sent.

    Args:
        answer: The answer to the submission.

    Returns:
        Whether it was refused because it does not fit now, the queue is full
        or no owner was reached.
    """
    return isinstance(answer, peer_messages.Failure) and (
        answer.result.code
        in (
            codes.ResultCode.TARGET_REFUSED,
            codes.ResultCode.HOME_UNREACHABLE,
            codes.ResultCode.QUEUE_FULL,
        )
    )


def submission_outcome_unknown(spec: jobs.JobSpec) -> peer_messages.Failure:
    """Returns the answer to a submission whose outcome is unknown.

    Args:
        spec: The job, which the owner may have accepted.
    """
    detail = f"job {spec.job} may have been accepted"
    return failure(codes.ResultCode.TIMED_OUT, detail)


def merge_job_lists(
    answers: dict[ids.FailureDomainId, peer_messages.Answer],
) -> peer_messages.Answer:
    """Merges the answers to a call that was sent to several failure domains.

    Args:
        answers: The answer of each failure domain.

    Returns:
        The jobs of all failure domains and the names of those that returned
        no list, or the first failure if none returned a list.
    """
    job_lists = {
        name: answer
        for name, answer in answers.items()
        if isinstance(answer, peer_messages.JobsAnswer)
    }
    if not job_lists:
        return next(iter(answers.values()))
    return peer_messages.JobsAnswer(
        statuses=tuple(
            status
            for answer in job_lists.values()
            for status in answer.statuses
        ),
        total=sum(answer.total for answer in job_lists.values()),
        unanswered=tuple(name for name in answers if name not in job_lists),
    )
