"""The registry of benches, which a decorator fills."""

from collections.abc import Callable

from citronmount.bench import report
from citronmount.core import codes
from citronmount.core import errors

__all__ = ["POLICIES", "bench", "get", "names"]

POLICIES = ("citron", "fifo", "best_fit", "no_backfill")

Bench = Callable[[int, tuple[str, ...]], report.BenchReport]

_BENCHES: dict[str, Bench] = {}


def bench(name: str) -> Callable[[Bench], Bench]:
    """Registers the decorated function as a bench.

    Args:
        name: Name of the bench.

    Returns:
        A decorator for a function that takes the seed and the policies.
    """

    def register(function: Bench) -> Bench:
        _BENCHES[name] = function
        return function

    return register


def get(name: str) -> Bench:
    """Returns a registered bench.

    Args:
        name: Name of the bench.

    Returns:
        The function that runs the bench.

    Raises:
        InvalidInputError: If there is no such bench.
    """
    if name not in _BENCHES:
        raise errors.InvalidInputError(
            f"unknown bench {name!r}; expected one of {', '.join(names())}",
            code=codes.ResultCode.INVALID_REQUEST,
        )
    return _BENCHES[name]


def names() -> tuple[str, ...]:
    """Returns the names of all benches, sorted."""
    return tuple(sorted(_BENCHES))
