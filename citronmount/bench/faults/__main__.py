"""Command line of the fault matrix."""

import argparse
import itertools
import sys

import msgspec

from citronmount.bench import harness_traffic
from citronmount.bench.faults import agents
from citronmount.bench.faults import availability
from citronmount.bench.faults import matrix
from citronmount.bench.faults import matrix_cell
from citronmount.bench.faults import registry
from citronmount.telemetry import timeline_events

__all__ = ["main"]

# Failure domains, VMs in each and workers in each. The first three sizes differ
# in the number of VMs, the last three only in the number of workers.
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
    """Runs the whole matrix, a part of it, all pairs of faults or one cell.

    With ``--availability`` or ``--traffic``, measures that instead.

    Args:
        argv: Arguments without the program name, or None for `sys.argv`.

    Returns:
        Exit status: 0 if every cell held or only figures were measured, else
        1.
    """
    args = _parser().parse_args(argv)
    if args.availability:
        _print_json(availability.measure())
        return 0
    if args.traffic:
        _print_json(_measure_traffic())
        return 0
    if args.fault and len(args.fault) == len(args.step) and not args.json:
        return _run_one(args)
    results = []
    for plans in _plans(args):
        for result in matrix.run_until_reached(plans):
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


def _measure_traffic() -> dict[str, object]:
    """Measures traffic per VM at growing sizes of the site, and its slopes."""
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
    rows_by_vms, rows_by_workers = rows[:3], rows[2:]
    return {
        "rows": rows,
        "bytes_per_s_per_vm": harness_traffic.slope(
            [(row.vms, row.mean_bytes_per_s) for row in rows_by_vms]
        ),
        "messages_per_s_per_vm": harness_traffic.slope(
            [(row.vms, row.mean_messages_per_s) for row in rows_by_vms]
        ),
        "bytes_per_s_per_worker": harness_traffic.slope(
            [(row.workers, row.mean_bytes_per_s) for row in rows_by_workers]
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
        "--part",
        default="0/1",
        help="run every n-th cell: 0/4 runs cells 0, 4, 8 and so on",
    )
    parser.add_argument("--last-ms", type=int, default=0)
    parser.add_argument(
        "--grep",
        default="",
        help="print only timeline lines that contain this text",
    )
    return parser


def _plans(args: argparse.Namespace) -> list[tuple[matrix.Plan, ...]]:
    if args.pairs:
        plans = list(matrix.fault_pair_plans(args.seed))
    else:
        plans = [
            (plan,)
            for plan in matrix.single_fault_plans(args.seed)
            if (not args.fault or plan.strikes[0][0] in args.fault)
            and (not args.step or plan.strikes[0][1] in args.step)
        ]
    part, part_count = map(int, args.part.split("/"))
    return list(itertools.islice(plans, part, None, part_count))


def _run_one(args: argparse.Namespace) -> int:
    plan = matrix.Plan(
        strikes=tuple(zip(args.fault, args.step, strict=True)), seed=args.seed
    )
    result, cell = matrix.run_cell(plan)
    lines = [
        (at_ms, _format_event(event)) for at_ms, event in cell.harness.timeline
    ]
    lines += [
        (injection.at_ms, f"*** fault: {injection}")
        for injection in cell.injections
    ]
    lines.append((cell.healed_ms, "*** healed"))
    lines.sort(key=lambda line: line[0])
    for at_ms, text in lines:
        if args.grep in text and at_ms >= args.last_ms:
            print(f"{at_ms:>7} {text[:300]}")
    _print_result(result)
    _print_job_states(cell)
    return 0 if result.held else 1


def _format_event(event: timeline_events.TimelineEvent) -> str:
    columns = (
        f"{name}={getattr(event, name)}"
        for name in _TIMELINE_COLUMNS
        if getattr(event, name)
    )
    return f"{event.process:10} {event.kind.value:24} {' '.join(columns)}"


def _print_result(result: matrix.CellResult) -> None:
    verdict = "held" if result.held else "FAILED"
    reached_note = "" if result.reached else " (step not seen)"
    print(f"{verdict}{reached_note}: {result.plan.command}")
    for violation in result.violations:
        print(f"  {violation.promise} {violation.at_ms}: {violation.detail}")
    for line in result.contradictions:
        print(f"  time line: {line}")


def _print_job_states(cell: matrix_cell.Cell) -> None:
    for job in cell.clients.jobs.values():
        state = job.final.state.value if job.final else "open"
        print(f"  job {job.name}: {job.job} {state} {job.refused or ''}")


if __name__ == "__main__":
    sys.exit(main())
