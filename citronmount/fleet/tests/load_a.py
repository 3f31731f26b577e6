"""Load A of `docs/design/scheduling_under_load.md`, as data."""

import msgspec

from citronmount.workflow import spec

__all__ = ["KINDS", "Kind"]


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """The jobs of one priority; a burst is (start_s, end_s, factor)."""

    jobs_per_s: float
    tasks: float
    run_ms: int
    demand: spec.Demand
    slack_factor: float
    allowance_ms: int
    misjudged: float
    bursts: tuple[tuple[int, int, float], ...]


KINDS = (
    Kind(
        jobs_per_s=3.6,
        tasks=5.4,
        run_ms=2_500,
        demand=spec.Demand(millicores=15_000, memory_mb=61_000),
        slack_factor=1.5,
        allowance_ms=250,
        misjudged=1.5,
        bursts=((8, 13, 2.6), (24, 29, 2.6)),
    ),
    Kind(
        jobs_per_s=0.84,
        tasks=13,
        run_ms=8_500,
        demand=spec.Demand(millicores=52_000, memory_mb=150_000),
        slack_factor=3,
        allowance_ms=1_000,
        misjudged=1.9,
        bursts=((4, 10, 2.2),),
    ),
    Kind(
        jobs_per_s=0.82,
        tasks=1.3 * 39,
        run_ms=7_600,
        demand=spec.Demand(millicores=11_000, memory_mb=33_000, accelerators=1),
        slack_factor=3,
        allowance_ms=3_000,
        misjudged=1.5,
        bursts=((5, 11, 2.6),),
    ),
)
