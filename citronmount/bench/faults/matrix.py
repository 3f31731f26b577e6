"""Runs cells of the fault matrix and summarizes their results."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools
import random
import zlib

import msgspec

from citronmount.bench import harness_site
from citronmount.bench.faults import agents
from citronmount.bench.faults import answer_checks
from citronmount.bench.faults import execution_checks
from citronmount.bench.faults import fault_kinds
from citronmount.bench.faults import matrix_cell
from citronmount.bench.faults import operation_checks
from citronmount.bench.faults import property_checks
from citronmount.bench.faults import registry
from citronmount.bench.faults import run_history
from citronmount.bench.faults import steps
from citronmount.bench.faults import timeline_check

__all__ = [
    "CellResult",
    "Plan",
    "Summary",
    "check_properties",
    "fault_pair_plans",
    "run_cell",
    "run_until_reached",
    "single_fault_plans",
    "summarize",
]

_SAMPLES_PER_PAIR = 5
# Importing these modules registers all faults, steps and property checks.
_REGISTERING_MODULES = (
    fault_kinds,
    steps,
    answer_checks,
    operation_checks,
    execution_checks,
)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """The faults of a cell, the steps at which they are injected, and the seed.

    Attributes:
        strikes: Pairs of the name of a fault and the name of its step.
        seed: Seed of all random number generators.
    """

    strikes: tuple[tuple[str, str], ...]
    seed: int

    @property
    def command(self) -> str:
        """The command that reproduces the cell."""
        options = " ".join(
            f"--fault {fault} --step {step}" for fault, step in self.strikes
        )
        return (
            f"python -m citronmount.bench.faults {options} --seed {self.seed}"
        )


class CellResult(msgspec.Struct, frozen=True, kw_only=True):
    """The result of one cell.

    Attributes:
        plan: The plan of the cell.
        reached: Whether every step occurred, so that every fault was injected.
        violations: Properties that did not hold, judged from what targets and
            clients observed.
        contradictions: Inconsistencies that the timeline alone shows.
        virtual_ms: Duration of the run in virtual time.
    """

    plan: Plan
    reached: bool
    violations: tuple[property_checks.Violation, ...]
    contradictions: tuple[str, ...]
    virtual_ms: int

    @property
    def held(self) -> bool:
        """Whether every fault was injected and every property held."""
        findings = self.violations or self.contradictions
        return self.reached and not findings


class Summary(msgspec.Struct, frozen=True, kw_only=True):
    """Counts over many cells.

    Attributes:
        run: Number of cells run.
        held: Number of cells in which every fault was injected and every
            property held.
        not_reached: Number of cells in which a step did not occur.
        failed: Results of the cells that did not hold.
    """

    run: int
    held: int
    not_reached: int
    failed: tuple[CellResult, ...]


def run_cell(
    plan: Plan,
    *,
    make_agent: Callable[..., object] = agents.make_agent,
    prepare: Callable[[matrix_cell.Cell], None] = lambda cell: None,
) -> tuple[CellResult, matrix_cell.Cell]:
    """Runs one cell.

    Args:
        plan: The plan of the cell.
        make_agent: Creates an agent from the VM's list entry, its incarnation
            and the log's retention time in ms.
        prepare: Called with the cell before it runs.

    Returns:
        The result and the cell, whose timeline can be read.
    """
    cell = matrix_cell.Cell(
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
        reached=len(cell.injections) == len(plan.strikes),
        violations=check_properties(cell.history),
        contradictions=tuple(timeline_check.check(timeline)),
        virtual_ms=cell.harness.clock.now_ms,
    )
    return result, cell


def check_properties(
    history: run_history.RunHistory,
) -> tuple[property_checks.Violation, ...]:
    """Checks every property.

    Importing this module, unlike `property_checks`, registers all checks.

    Args:
        history: History of a completed run.

    Returns:
        All violations.
    """
    return tuple(property_checks.check(history))


def single_fault_plans(seed: int) -> Iterator[Plan]:
    """Returns the plans that inject every fault at every step.

    Args:
        seed: Seed from which the seeds of the cells are derived.
    """
    return (
        _derive_plan(((fault, step),), seed)
        for fault, step in itertools.product(registry.FAULTS, registry.STEPS)
    )


def fault_pair_plans(seed: int) -> Iterator[tuple[Plan, ...]]:
    """Yields plans for every pair of faults at sampled steps.

    Args:
        seed: Seed of the samples.

    Yields:
        The plans of one pair, to be run in order until one reaches both steps.
        A plan misses a step when one fault prevents the step of the other.
    """
    pairs = itertools.combinations_with_replacement(registry.FAULTS, 2)
    for pair in pairs:
        rng = random.Random(f"{seed} {pair}")
        yield tuple(
            _sample_pair_plan(pair, rng, seed) for _ in range(_SAMPLES_PER_PAIR)
        )


def run_until_reached(plans: tuple[Plan, ...]) -> list[CellResult]:
    """Runs plans in order up to the first that reaches all its steps.

    Args:
        plans: The sampled plans of a pair of faults, or a single plan.

    Returns:
        The results of plans that missed a step but broke a property, then the
        result of the first plan that reached all its steps, or of the last
        plan.
    """
    results = []
    for plan in plans:
        result, _ = run_cell(plan)
        if result.reached or result.violations or result.contradictions:
            results.append(result)
        if result.reached:
            return results
    return [*results, result]


def _sample_pair_plan(
    pair: tuple[str, str], rng: random.Random, seed: int
) -> Plan:
    """Returns a plan with two random steps that may occur in one cell.

    The second step is of the family of the first, or a job or request step,
    since jobs and requests are part of the workload of every cell.
    """
    first_step = rng.choice(list(registry.STEPS))
    family = registry.STEPS[first_step].family
    compatible_steps = [
        step.name
        for step in registry.STEPS.values()
        if step.family in (family, "job", "request")
    ]
    return _derive_plan(
        ((pair[0], first_step), (pair[1], rng.choice(compatible_steps))), seed
    )


def summarize(results: list[CellResult]) -> Summary:
    """Summarizes the results of cells.

    Args:
        results: Results of the cells.
    """
    return Summary(
        run=len(results),
        held=sum(result.held for result in results),
        not_reached=sum(not result.reached for result in results),
        failed=tuple(result for result in results if not result.held),
    )


def _derive_plan(strikes: tuple[tuple[str, str], ...], seed: int) -> Plan:
    """Derives the seed of a cell, the same one in every process."""
    plan_text = f"{seed} {strikes}"
    return Plan(
        strikes=strikes, seed=zlib.crc32(plan_text.encode()) % 1_000_000
    )
