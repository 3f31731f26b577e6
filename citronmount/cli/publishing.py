"""Publishes a configuration and finds out what a lost answer was."""

from citronmount.cli import calls
from citronmount.cli import client as client_lib
from citronmount.cli import output
from citronmount.config import configuration as configuration_lib
from citronmount.config import sheet as sheet_lib
from citronmount.core import codes
from citronmount.core import ids
from citronmount.service import bodies

__all__ = ["exit_of", "publish"]

PUBLISH_TIMEOUT_MS = 30_000

_ACCEPTED = codes.ResultCode.CONFIGURATION_ACCEPTED
_OUTCOME_UNKNOWN = codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN
_STALE_BASE = codes.ResultCode.CONFIGURATION_STALE_BASE


async def publish(
    client: client_lib.Client,
    content: configuration_lib.Configuration,
    base_version: int,
    author: str,
) -> bodies.PublishBody:
    """Publishes a configuration on top of a version.

    A second copy of the change has no effect because its base is stale by
    then, so the call is idempotent; an answer that leaves the outcome open is
    resolved by reading the configuration in force.

    Args:
        client: Reaches the servers.
        content: The configuration.
        base_version: The version that it replaces.
        author: Who publishes.

    Returns:
        The answer. It is CONFIGURATION_ACCEPTED also if an answer was lost
        and the content is found in force.
    """
    call = calls.Call(
        method="PUT",
        path=("v1", "configuration"),
        query={"base_version": str(base_version), "author": author},
        body=sheet_lib.write(content).encode("utf-8"),
        timeout_ms=PUBLISH_TIMEOUT_MS,
    )
    answer = await client.call(call, bodies.PublishBody)
    if answer.code not in (_OUTCOME_UNKNOWN, _STALE_BASE):
        return answer
    in_force = await client.in_force(content)
    return answer if in_force is None else _accepted(in_force.version)


def _accepted(version: ids.Version) -> bodies.PublishBody:
    return bodies.PublishBody(
        code=int(_ACCEPTED),
        name=_ACCEPTED.name,
        detail="The same content is in force.",
        version=version,
    )


def exit_of(answer: bodies.PublishBody) -> output.Exit:
    """Returns the exit code of an answer.

    Args:
        answer: The answer to a publication.

    Returns:
        OK if it is in force, BAD_INPUT if the sheet is at fault.
    """
    code = codes.ResultCode(answer.code)
    if code is codes.ResultCode.CONFIGURATION_INVALID:
        return output.Exit.BAD_INPUT
    return output.exit_of(code)
