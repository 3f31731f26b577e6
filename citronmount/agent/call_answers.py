"""Answers to callers' calls and what they prove."""

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import messages as peer_messages

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
        code: Why.
        detail: More for a person.

    Returns:
        The answer, with the time to come back if that may help.
    """
    retry = codes.info(code).retry
    return peer_messages.Failure(
        result=jobs.JobResult(code=code, detail=detail),
        retry_after_ms=RETRY_AFTER_MS if retry else None,
    )


def is_not_owner(answer: peer_messages.Answer) -> bool:
    """Returns whether the asked VM was not the owner after all.

    Args:
        answer: Its answer.
    """
    return (
        isinstance(answer, peer_messages.Failure)
        and answer.result.code is codes.ResultCode.REBUILDING
    )


def cannot_start_now(answer: peer_messages.Answer) -> bool:
    """Returns whether an eager submission was refused for lack of room.

    Args:
        answer: The owner's answer.
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
    """Returns the answer to a submission whose fate is not known.

    Args:
        spec: The job.
    """
    detail = f"job {spec.job} may have been accepted"
    return failure(codes.ResultCode.TIMED_OUT, detail)


def merge_job_lists(
    answers: dict[ids.FailureDomainId, peer_messages.Answer],
) -> peer_messages.Answer:
    """Returns one answer for the parts of a call to all failure domains.

    Args:
        answers: The answer of each failure domain.

    Returns:
        All jobs together, with the failure domains that gave none, or the
        first failure if there is nothing else.
    """
    lists = {
        name: answer
        for name, answer in answers.items()
        if isinstance(answer, peer_messages.JobsAnswer)
    }
    if not lists:
        return next(iter(answers.values()))
    return peer_messages.JobsAnswer(
        statuses=tuple(
            status for answer in lists.values() for status in answer.statuses
        ),
        total=sum(answer.total for answer in lists.values()),
        unanswered=tuple(name for name in answers if name not in lists),
    )
