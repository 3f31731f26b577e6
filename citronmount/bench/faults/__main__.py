"""Command line of the fault matrix."""

import argparse
import itertools
import sys

import msgspec

from citronmount.bench import harness_traffic
from citronmount.bench.faults import agents
from citronmount.bench.faults import availability
from citronmount.bench.faults import cell as cell_lib
from citronmount.bench.faults import matrix
from citronmount.bench.faults import registry
from citronmount.telemetry import timeline_events

__all__ = ["main"]

_TRAFFIC_SIZES = (
    (3, 2, 8),
    (3, 8, 8),
    (5, 8, 8),
    (5, 8, 16),
    (5, 8, 52),
)
_TIMELINE_COLUMNS = (
    "job",
    "attempt",
    "request",
    "target",
    "version",
    "code",
    "count",
    "detail",
)


def main(argv: list[str] | None = None) -> int:
    """Runs the whole matrix, a part of it, all pairs or one cell.

    Args:
        argv: Arguments without the program name, or None for `sys.argv`.

    Returns:
        0 if every cell held, else 1.
    """
    args = _parser().parse_args(argv)
    if args.availability:
        _print_json(availability.measure())
        return 0
    if args.traffic:
        _print_json(_traffic())
        return 0
    if args.fault and len(args.fault) == len(args.step) and not args.json:
        return _run_one(args)
    results = []
    for plans in _plans(args):
        for result in matrix.run_pair(plans):
            results.append(result)
            if not args.json and not result.held:
                _print_result(result)
    summary = matrix.summarize(results)
    if args.json:
        _print_json(summary)
    else:
        print(
            f"{summary.run} cells run, {summary.held} held,"
            f" {len(summary.failed)} failed,"
            f" {summary.not_reached} of these not reached"
        )
    return 0 if summary.held == summary.run else 1


def _print_json(value: object) -> None:
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def _traffic() -> dict[str, object]:
    """Measures the traffic of a VM at growing sizes, and its slopes."""
    rows = [
        harness_traffic.measure_traffic(
            lambda vm, incarnation_ms: agents.make_agent(
                vm, incarnation_ms, registry.DAY_MS
            ),
            failure_domains=failure_domains,
            vms_per_domain=vm_count,
            workers_per_domain=worker_count,
        )
        for failure_domains, vm_count, worker_count in _TRAFFIC_SIZES
    ]
    by_vms, by_workers = rows[:3], rows[2:]
    return {
        "rows": rows,
        "bytes_per_s_per_vm": harness_traffic.slope(
            [(row.vms, row.mean_bytes_per_s) for row in by_vms]
        ),
        "messages_per_s_per_vm": harness_traffic.slope(
            [(row.vms, row.mean_messages_per_s) for row in by_vms]
        ),
        "bytes_per_s_per_worker": harness_traffic.slope(
            [(row.workers, row.mean_bytes_per_s) for row in by_workers]
        ),
    }


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="citronmount.bench.faults")
    parser.add_argument(
        "--fault", action="append", default=[], choices=registry.FAULTS
    )
    parser.add_argument(
        "--step", action="append", default=[], choices=registry.STEPS
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--availability", action="store_true")
    parser.add_argument("--traffic", action="store_true")
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--part", default="0/1", help="run every n-th cell, such as 0/4"
    )
    parser.add_argument("--last-ms", type=int, default=0)
    parser.add_argument("--grep", default="", help="filter the time line")
    return parser


def _plans(args: argparse.Namespace) -> list[tuple[matrix.Plan, ...]]:
    if args.pairs:
        plans = list(matrix.all_pairs(args.seed))
    else:
        plans = [
            (plan,)
            for plan in matrix.all_singles(args.seed)
            if (not args.fault or plan.strikes[0][0] in args.fault)
            and (not args.step or plan.strikes[0][1] in args.step)
        ]
    part, parts = map(int, args.part.split("/"))
    return list(itertools.islice(plans, part, None, parts))


def _run_one(args: argparse.Namespace) -> int:
    plan = matrix.Plan(
        strikes=tuple(zip(args.fault, args.step, strict=True)), seed=args.seed
    )
    result, cell = matrix.run_cell(plan)
    lines = [(at_ms, _line(event)) for at_ms, event in cell.harness.timeline]
    lines += [(hit.at_ms, f"*** fault: {hit}") for hit in cell.hits]
    lines.append((cell.healed_ms, "*** healed"))
    lines.sort(key=lambda line: line[0])
    for at_ms, text in lines:
        if args.grep in text and at_ms >= args.last_ms:
            print(f"{at_ms:>7} {text[:300]}")
    _print_result(result)
    _print_open(cell)
    return 0 if result.held else 1


def _line(event: timeline_events.TimelineEvent) -> str:
    fields = (
        f"{name}={getattr(event, name)}"
        for name in _TIMELINE_COLUMNS
        if getattr(event, name)
    )
    return f"{event.process:10} {event.kind.value:24} {' '.join(fields)}"


def _print_result(result: matrix.CellResult) -> None:
    verdict = "held" if result.held else "FAILED"
    reached = "" if result.reached else " (step not seen)"
    print(f"{verdict}{reached}: {result.plan.command}")
    for violation in result.violations:
        print(f"  {violation.promise} {violation.at_ms}: {violation.detail}")
    for line in result.contradictions:
        print(f"  time line: {line}")


def _print_open(cell: cell_lib.Cell) -> None:
    for case in cell.callers.jobs.values():
        state = case.final.state.value if case.final else "open"
        print(f"  job {case.name}: {case.job} {state} {case.refused or ''}")


if __name__ == "__main__":
    sys.exit(main())
