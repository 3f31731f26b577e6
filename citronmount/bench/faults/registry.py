"""Registries of the faults and steps of the matrix.

Cells, injections and processes are typed as `Any`, because `matrix_cell`
imports this module.
"""

from collections.abc import Callable
from typing import Any

import msgspec

__all__ = ["FAULTS", "STEPS", "Fault", "Step", "fault", "step"]


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """One kind of fault.

    Attributes:
        name: Name on the command line.
        inject: Injects the fault, given the cell and the injection.
        retention_ms: Retention time of the log in cells with this fault.
    """

    name: str
    inject: Callable[[Any, Any], None]
    retention_ms: int


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One step in the work of a VM at which faults are injected.

    The families of steps are jobs, short requests, configuration changes,
    requests to peers for the configuration (``relay``), takeovers and drains.

    Attributes:
        name: Name on the command line, ``family.step``.
        seen: Whether an event or effect is this step, given the cell, the
            process and the event or effect.
    """

    name: str
    seen: Callable[[Any, Any, Any], bool]

    @property
    def family(self) -> str:
        """The part of the name before the dot."""
        return self.name.partition(".")[0]


DAY_MS = 24 * 60 * 60 * 1_000

FAULTS: dict[str, Fault] = {}
STEPS: dict[str, Step] = {}


def fault(
    name: str, *, retention_ms: int = DAY_MS
) -> Callable[[Callable[[Any, Any], None]], Callable[[Any, Any], None]]:
    """Registers a function that injects a fault.

    Args:
        name: Name on the command line.
        retention_ms: Retention time of the log in cells with this fault.

    Returns:
        A decorator for a function of the cell and the injection.
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
        name: Name on the command line, ``family.step``.

    Returns:
        A decorator for a predicate of the cell, the process and the event or
        effect.
    """

    def register(seen: Callable[[Any, Any, Any], bool]) -> Any:
        STEPS[name] = Step(name=name, seen=seen)
        return seen

    return register
