"""Runs several calls at the same time and waits for all of them."""

from collections.abc import Awaitable

from twisted.internet import defer

__all__ = ["gather"]


async def gather(*calls: Awaitable[object]) -> list[object]:
    """Runs calls concurrently and waits until each has ended.

    Args:
        *calls: Coroutines.

    Returns:
        The result of each call, in the order of the calls.

    Raises:
        Exception: The error of the first call, in their order, that failed.
    """
    outcomes = await defer.DeferredList(
        [defer.ensureDeferred(call) for call in calls], consumeErrors=True
    )
    for succeeded, result in outcomes:
        if not succeeded:
            result.raiseException()
    return [result for _, result in outcomes]
