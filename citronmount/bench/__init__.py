"""Benchmarks of the scheduling and routing policies.

The benches that `names` returns run on virtual time. The modules `loopback` and
`capacity_daemon` instead start daemon processes on the loopback interface and
measure them in real time.
"""

from citronmount.bench import registry
from citronmount.bench import report
from citronmount.bench import suite

__all__ = ["names", "run"]


def names() -> tuple[str, ...]:
    """Returns the names of all benches, sorted."""
    suite.load_benches()
    return registry.names()


def run(
    name: str, seed: int, policies: tuple[str, ...] | None = None
) -> report.BenchReport:
    """Runs one bench on virtual time.

    Args:
        name: Name of the bench; see `names`.
        seed: Seed of the workload; the same seed gives the same report.
        policies: The policies to compare, or None for all that apply.

    Returns:
        The report.

    Raises:
        InvalidInputError: If there is no such bench.
    """
    suite.load_benches()
    run_bench = registry.get(name)
    return run_bench(seed, registry.POLICIES if policies is None else policies)
