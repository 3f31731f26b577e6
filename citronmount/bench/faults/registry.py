"""Registries of faults, of steps and of sabotages."""

from collections.abc import Callable
from typing import Any

import msgspec

__all__ = ["FAULTS", "STEPS", "Fault", "Step", "fault", "step"]


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault.

    Attributes:
        name: Its name on the command line.
        inject: Brings it about; gets the cell and where the step was seen.
        retention_ms: How long the log keeps records in such a cell.
    """

    name: str
    inject: Callable[[Any, Any], None]
    retention_ms: int


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step of the life of a job, request, change, take-over or drain.

    Attributes:
        name: Its name on the command line, ``family.step``.
        seen: Whether an event or effect of a process is this step.
    """

    name: str
    seen: Callable[[Any, Any, Any], bool]

    @property
    def family(self) -> str:
        """The part before the dot."""
        return self.name.partition(".")[0]


DAY_MS = 24 * 60 * 60 * 1_000

FAULTS: dict[str, Fault] = {}
STEPS: dict[str, Step] = {}


def fault(
    name: str, *, retention_ms: int = DAY_MS
) -> Callable[[Callable[[Any, Any], None]], Callable[[Any, Any], None]]:
    """Registers a function that brings about a fault.

    Args:
        name: Its name on the command line.
        retention_ms: How long the log keeps records in such a cell.

    Returns:
        The decorator.
    """

    def register(inject: Callable[[Any, Any], None]) -> Any:
        FAULTS[name] = Fault(
            name=name, inject=inject, retention_ms=retention_ms
        )
        return inject

    return register


def step(
    name: str,
) -> Callable[[Callable[[Any, Any, Any], bool]], Any]:
    """Registers a predicate that recognizes a step.

    Args:
        name: Its name on the command line, ``family.step``.

    Returns:
        The decorator.
    """

    def register(seen: Callable[[Any, Any, Any], bool]) -> Any:
        STEPS[name] = Step(name=name, seen=seen)
        return seen

    return register
