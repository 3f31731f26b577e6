"""Runs cells of the fault matrix and sums them up."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import random
import zlib

import msgspec

from citronmount.bench import harness_site
from citronmount.bench.faults import agents
from citronmount.bench.faults import cell as cell_lib
from citronmount.bench.faults import evidence as evidence_lib
from citronmount.bench.faults import fault_kinds
from citronmount.bench.faults import promises
from citronmount.bench.faults import promises_of_answers
from citronmount.bench.faults import promises_of_operation
from citronmount.bench.faults import promises_of_work
from citronmount.bench.faults import registry
from citronmount.bench.faults import steps
from citronmount.bench.faults import timeline_check

__all__ = [
    "CellResult",
    "Plan",
    "Summary",
    "all_pairs",
    "all_singles",
    "check_promises",
    "run_cell",
    "run_pair",
    "summarize",
]

_PAIR_SAMPLES = 5
_REGISTERED = (
    fault_kinds,
    steps,
    promises_of_answers,
    promises_of_operation,
    promises_of_work,
)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """Which faults strike at which steps, and the seed.

    Attributes:
        strikes: Pairs of names of a fault and a step.
        seed: The seed.
    """

    strikes: tuple[tuple[str, str], ...]
    seed: int

    @property
    def command(self) -> str:
        """The command that runs the cell again."""
        options = " ".join(f"--fault {f} --step {s}" for f, s in self.strikes)
        return (
            f"python -m citronmount.bench.faults {options} --seed {self.seed}"
        )


class CellResult(msgspec.Struct, frozen=True, kw_only=True):
    """The verdict on one cell.

    Attributes:
        plan: What was run.
        reached: Whether every step was seen, so that every fault struck.
        violations: Promises broken, from what targets and callers saw.
        contradictions: What the time line alone shows to be wrong.
        virtual_ms: How long the run was.
    """

    plan: Plan
    reached: bool
    violations: tuple[promises.Violation, ...]
    contradictions: tuple[str, ...]
    virtual_ms: int

    @property
    def held(self) -> bool:
        """Whether the faults struck and every promise held."""
        broken = self.violations or self.contradictions
        return self.reached and not broken


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Counts over many cells.

    Attributes:
        run: Cells run.
        held: Cells in which every promise held.
        not_reached: Cells in which a step was not seen.
        failed: The cells that did not hold.
    """

    run: int
    held: int
    not_reached: int
    failed: tuple[CellResult, ...]


def run_cell(
    plan: Plan,
    *,
    make_agent: Callable[..., object] = agents.make_agent,
    prepare: Callable[[cell_lib.Cell], None] = lambda cell: None,
) -> tuple[CellResult, cell_lib.Cell]:
    """Runs one cell.

    Args:
        plan: The faults, steps and seed.
        make_agent: Makes the agents.
        prepare: Called with the cell before it runs.

    Returns:
        The verdict and the cell, whose time line can be read.
    """
    cell = cell_lib.Cell(
        plan=tuple(
            (registry.FAULTS[fault], registry.STEPS[step])
            for fault, step in plan.strikes
        ),
        seed=plan.seed,
        make_agent=make_agent,
        site=harness_site.make_site(workers_per_domain=3),
    )
    prepare(cell)
    cell.run()
    timeline = [event for _, event in cell.harness.timeline]
    result = CellResult(
        plan=plan,
        reached=len(cell.hits) == len(plan.strikes),
        violations=check_promises(cell.evidence),
        contradictions=tuple(timeline_check.check(timeline)),
        virtual_ms=cell.harness.clock.now_ms,
    )
    return result, cell


def check_promises(
    evidence: evidence_lib.Evidence,
) -> tuple[promises.Violation, ...]:
    """Checks every promise.

    Args:
        evidence: What was seen of a whole run.

    Returns:
        All violations.
    """
    return tuple(promises.check(evidence))


def all_singles(seed: int) -> Iterator[Plan]:
    """Returns every fault at every step.

    Args:
        seed: The seed from which those of the cells derive.
    """
    return (
        _plan(((fault, step),), seed)
        for fault, step in itertools.product(registry.FAULTS, registry.STEPS)
    )


def all_pairs(seed: int) -> Iterator[tuple[Plan, ...]]:
    """Returns every pair of faults, each with a few samples of steps.

    Args:
        seed: The seed of the samples.

    Yields:
        Plans of one pair; a later one is for when an earlier one did not
        reach both steps, because one fault kept the other's step away.
    """
    pairs = itertools.combinations_with_replacement(registry.FAULTS, 2)
    for pair in pairs:
        rng = random.Random(f"{seed} {pair}")
        yield tuple(_pair_plan(pair, rng, seed) for _ in range(_PAIR_SAMPLES))


def run_pair(plans: tuple[Plan, ...]) -> list[CellResult]:
    """Runs the samples of a pair up to the first that reaches both steps.

    Args:
        plans: The samples of one pair.

    Returns:
        The verdict on that sample, after those of unreached ones in which a
        promise was broken.
    """
    results = []
    for plan in plans:
        result, _ = run_cell(plan)
        if result.reached or result.violations or result.contradictions:
            results.append(result)
        if result.reached:
            return results
    return [*results, result]


def _pair_plan(pair: tuple[str, str], rng: random.Random, seed: int) -> Plan:
    first = rng.choice(list(registry.STEPS))
    family = registry.STEPS[first].family
    fitting = [
        step.name
        for step in registry.STEPS.values()
        if step.family in (family, "job", "request")
    ]
    return _plan(((pair[0], first), (pair[1], rng.choice(fitting))), seed)


def summarize(results: list[CellResult]) -> Summary:
    """Counts the verdicts.

    Args:
        results: Verdicts on cells.
    """
    return Summary(
        run=len(results),
        held=sum(result.held for result in results),
        not_reached=sum(not result.reached for result in results),
        failed=tuple(result for result in results if not result.held),
    )


def _plan(strikes: tuple[tuple[str, str], ...], seed: int) -> Plan:
    text = f"{seed} {strikes}"
    return Plan(strikes=strikes, seed=zlib.crc32(text.encode()) % 1_000_000)
