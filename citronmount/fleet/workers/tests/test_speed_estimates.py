import itertools
import math
import random
import unittest

from citronmount.fleet.workers import speed_estimates
from citronmount.fleet.workers import speed_range

SPEEDS = (0.6, 1.0, 1.6)


class SpeedEstimatesTest(unittest.TestCase):
    """A pool of 36 machines with three speeds, unknown at first."""

    def setUp(self) -> None:
        self.estimates = speed_estimates.SpeedEstimates()
        self.true_speeds = {
            f"m{number}": SPEEDS[number % 3] for number in range(36)
        }
        self.random = random.Random(7)
        self.groups = itertools.count()
        self.now_ms = 0

    def observe(
        self, machines: list[str], deviation: float = 0.1, **slowed: float
    ) -> None:
        self.now_ms += 1_000
        rates = [
            speed_estimates.Rate(
                machine=each,
                log_rate=math.log(0.05 * self.true_speeds[each])
                + self.random.gauss(0, deviation)
                - math.log(slowed.get(each, 1.0)),
                variance=deviation**2,
            )
            for each in machines
        ]
        self.estimates.observe_group(next(self.groups), rates, self.now_ms)

    def expected(self, machine: str) -> float:
        return self.estimates.speed_range(machine).expected

    def learn(self, rounds: int, deviation: float = 0.1) -> None:
        for _ in range(rounds):
            machines = list(self.true_speeds)
            self.random.shuffle(machines)
            for first in range(0, 36, 6):
                self.observe(machines[first : first + 6], deviation)

    def test_machine_without_rates_is_unknown(self) -> None:
        self.assertEqual(speed_range.UNKNOWN, self.estimates.speed_range("m0"))

    def test_gangs_on_mixed_sets_show_three_speeds(self) -> None:
        self.learn(rounds=3)
        for machine, speed in self.true_speeds.items():
            likely = self.estimates.speed_range(machine)
            self.assertLess(abs(math.log(likely.expected / speed)), 0.2)
            self.assertLess(likely.low, speed * 1.05)
            self.assertGreater(likely.high, speed * 0.95)

    def test_single_tasks_of_different_work_show_three_speeds(self) -> None:
        self.learn(rounds=6, deviation=0.25)
        errors = [
            abs(math.log(self.expected(machine) / speed))
            for machine, speed in self.true_speeds.items()
        ]
        self.assertLess(sum(errors) / len(errors), 0.15)

    def test_slowdown_for_a_while_is_not_learned_as_a_speed(self) -> None:
        self.learn(rounds=3)
        before = {each: self.expected(each) for each in self.true_speeds}
        for _ in range(3):
            self.observe(["m0", "m1", "m2", "m3"], m2=7.0)
            self.observe(["m4", "m5", "m6"], m5=3.0)
        for machine, speed in before.items():
            change = abs(math.log(self.expected(machine) / speed))
            self.assertLess(change, 0.15, machine)

    def test_lasting_change_of_a_speed_is_learned(self) -> None:
        self.learn(rounds=3)
        self.true_speeds["m2"] = 0.6
        self.learn(rounds=30)
        self.assertLess(self.expected("m2"), 0.8)

    def test_later_rates_of_a_group_are_compared_with_earlier_ones(
        self,
    ) -> None:
        for number, log_rate in enumerate((0.0, -0.9)):
            rate = speed_estimates.Rate(
                machine=f"m{number}", log_rate=log_rate, variance=0.01
            )
            self.estimates.observe_group("step", [rate], now_ms=number)
        self.assertLess(self.expected("m1"), 0.7)

    def test_next_owner_restores_what_is_known(self) -> None:
        self.learn(rounds=3)
        restored = speed_estimates.SpeedEstimates()
        restored.restore(self.estimates.snapshot(self.true_speeds), 0)
        self.assertEqual(36, restored.known_count)
        for machine in self.true_speeds:
            self.assertAlmostEqual(
                restored.speed_range(machine).expected,
                self.expected(machine),
                delta=0.02,
            )
