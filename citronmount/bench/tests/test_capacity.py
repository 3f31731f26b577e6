"""Tests of the plan and the measurements of the capacity script."""

import unittest

import msgspec

from citronmount.bench import capacity_agents
from citronmount.bench import capacity_daemon
from citronmount.bench import capacity_page
from citronmount.bench import capacity_plan
from citronmount.bench import harness_traffic


class PreservedPartTest(unittest.TestCase):
    def test_part_measured_by_other_scripts_survives_a_new_page(self) -> None:
        part = f"\n{capacity_page.PRESERVED_TITLE}\n\nslopes\n"
        self.assertEqual(
            part, capacity_page.preserved_part("# Capacity\n" + part)
        )
        self.assertEqual("", capacity_page.preserved_part("# Capacity\n"))


def _state(workers: int, jobs: int, teams: int) -> capacity_agents.StateRow:
    return capacity_agents.StateRow(
        workers=workers,
        jobs=jobs,
        teams=teams,
        owner_bytes=1_000 + 10 * workers + 20 * jobs + 30 * teams,
        member_bytes=0,
    )


def _measured() -> capacity_plan.Measured:
    idle = capacity_daemon.IdleDaemon(
        workers_kept=2,
        processor_share=0.01,
        most_processor_share=0.02,
        resident_mb=60,
        http_bytes_per_s=100,
        peer_bytes_per_s=100,
    )
    return capacity_plan.Measured(
        traffic=(
            harness_traffic.TrafficRow(
                vms=40,
                failure_domains=5,
                workers=40,
                mean_bytes_per_s=0,
                most_bytes_per_s=0,
                mean_messages_per_s=0,
                most_messages_per_s=0,
                bytes_per_s_by_kind={"Heartbeat": 5_000, "PlatformListed": 0},
            ),
        ),
        costs=tuple(
            capacity_agents.EventCost(
                kind=kind, count=1, mean_us=100, per_vm_per_s=20
            )
            for kind in ("PeerArrived", "Tick", "WorkerAnswered")
        ),
        state=(
            _state(1, 1, 1),
            _state(9, 1, 1),
            _state(1, 9, 1),
            _state(1, 1, 9),
        ),
        idle=(idle,),
        exchange=capacity_daemon.ExchangeCost(processor_us=900, wire_bytes=300),
        message_us=25,
        change_bytes={140: 20_000, 280: 40_000},
        change_us={140: 1_000, 280: 2_000},
        event_bytes=300,
    )


class PlanTest(unittest.TestCase):
    """Tests of the needs computed from measurements."""

    def test_slope_of_one_size_ignores_rows_that_vary_another(self) -> None:
        slopes = capacity_plan.state_slopes(_measured().state)
        self.assertEqual((10, 20, 30), tuple(map(round, slopes)))

    def test_needs_add_up_and_an_exceeded_budget_is_reported(self) -> None:
        measured = _measured()
        plan = capacity_plan.compute_plan(measured)
        needs = {need.role: need for need in plan.needs}
        self.assertEqual(5_000 + 40 * 40, needs["member"].bytes_per_s)
        self.assertAlmostEqual(
            1_300 / 40 / 3 * 1_000 / 1e6, needs["keeper"].processor_share, 4
        )
        self.assertEqual(
            round(sum(need.bytes_per_s for need in plan.needs)),
            plan.bytes_per_s,
        )
        self.assertTrue(plan.within["resident_mb"])
        slow = msgspec.structs.replace(
            measured,
            idle=(
                msgspec.structs.replace(measured.idle[0], processor_share=0.04),
            ),
        )
        plan = capacity_plan.compute_plan(slow)
        self.assertFalse(plan.within["processor_share"])
        self.assertIn("**misses**", capacity_page.render(slow, plan))


class MeasureTest(unittest.TestCase):
    """Small runs of the measurements that start no process."""

    def test_shared_objects_are_counted_once(self) -> None:
        shared = bytes(10_000)
        single = capacity_agents.deep_bytes([shared])
        doubled = capacity_agents.deep_bytes([shared, [shared]])
        self.assertLess(doubled, single + 10_000)
        self.assertLess(10_000, single)

    def test_owner_uses_more_memory_for_more_jobs(self) -> None:
        few, more = (
            capacity_agents.measure_state(workers=4, job_count=n, teams=2)
            for n in (1, 6)
        )
        self.assertLess(few.owner_bytes, more.owner_bytes)
        self.assertLess(more.member_bytes, more.owner_bytes)
