"""Closes the resources of a process and collects every error."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import inspect
from typing import Any
from typing import Self

__all__ = ["CleanupStack"]


class CleanupStack:
    """An asynchronous exit stack that raises all errors as one group.

    Callbacks run last in, first out. All of them run, even if some fail.
    """

    def __init__(self) -> None:
        """Initializes an empty stack."""
        self._stack = contextlib.AsyncExitStack()
        self._errors: list[Exception] = []

    def push(
        self,
        name: str,
        close: Callable[[], Awaitable[object] | object | None],
    ) -> None:
        """Adds a callback.

        Args:
            name: What the callback closes; added as a note to its error.
            close: Closes the resource; an awaitable result is awaited.
        """

        async def run() -> None:
            try:
                result = close()
                if inspect.isawaitable(result):
                    await result
            except Exception as error:
                error.add_note(f"while closing {name}")
                self._errors.append(error)

        self._stack.push_async_callback(run)

    async def __aenter__(self) -> Self:
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *details: Any) -> bool:
        await self._stack.__aexit__(*details)
        if self._errors:
            raise ExceptionGroup("errors while closing", self._errors)
        return False
