"""Publishes a configuration and resolves unknown outcomes."""

from citronmount.cli import api_client
from citronmount.cli import calls
from citronmount.cli import output
from citronmount.config import configuration as configuration_lib
from citronmount.config import sheet
from citronmount.core import codes
from citronmount.core import ids
from citronmount.service import bodies

__all__ = ["exit_code_of", "publish"]

PUBLISH_TIMEOUT_MS = 30_000

_ACCEPTED = codes.ResultCode.CONFIGURATION_ACCEPTED
_OUTCOME_UNKNOWN = codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN
_STALE_BASE = codes.ResultCode.CONFIGURATION_STALE_BASE


async def publish(
    client: api_client.Client,
    content: configuration_lib.Configuration,
    base_version: int,
    author: str,
) -> bodies.PublishBody:
    """Publishes a configuration as the successor of a version.

    The call is idempotent: a second copy of the change is rejected because
    its base version is stale by then. If the outcome is unknown or the base
    is stale, an earlier copy of the change may have been accepted and its
    reply lost. In these cases the configuration in force is read, and the
    publication counts as accepted if the content is the same.

    Args:
        client: Calls the servers.
        content: The configuration; its version is ignored.
        base_version: The version that it replaces.
        author: Name to record as the author of the change.

    Returns:
        The body of the reply. Its code is CONFIGURATION_ACCEPTED also if the
        content is found in force.
    """
    call = calls.Call(
        method="PUT",
        path=("v1", "configuration"),
        query={"base_version": str(base_version), "author": author},
        body=sheet.write(content).encode("utf-8"),
        timeout_ms=PUBLISH_TIMEOUT_MS,
    )
    result = await client.call(call, bodies.PublishBody)
    if result.code not in (_OUTCOME_UNKNOWN, _STALE_BASE):
        return result
    in_force = await client.find_in_force(content)
    return result if in_force is None else _make_accepted_body(in_force.version)


def _make_accepted_body(version: ids.Version) -> bodies.PublishBody:
    return bodies.PublishBody(
        code=int(_ACCEPTED),
        name=_ACCEPTED.name,
        detail="The configuration in force has the same content.",
        version=version,
    )


def exit_code_of(result: bodies.PublishBody) -> output.Exit:
    """Returns the exit code that corresponds to the result of a publication.

    Args:
        result: The body of the reply.

    Returns:
        OK if the configuration was accepted, BAD_INPUT if it is invalid,
        otherwise the exit code of the result code.
    """
    code = codes.ResultCode(result.code)
    if code is codes.ResultCode.CONFIGURATION_INVALID:
        return output.Exit.BAD_INPUT
    return output.exit_code_of(code)
