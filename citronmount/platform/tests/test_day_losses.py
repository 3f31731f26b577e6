import unittest

from citronmount.platform import day_losses

PARTS = [("whole day", 0.5, 0.8), ("worst zone", 0.5, 0.6)]


def day(slot: str = "trouble", **prices: float) -> day_losses.Day:
    return day_losses.Day(
        worth=0.7 - sum(prices.values()),
        slot=slot,
        parts=PARTS,
        prices=[(name.replace("_", " "), 1.0, x) for name, x in prices.items()],
    )


class DayLossesTest(unittest.TestCase):
    def test_worth_and_losses_add_up_to_the_credit_owed(self) -> None:
        some = day(cloud_calls=0.02, never_seen=0.03)
        lost = day_losses.losses(some)
        self.assertAlmostEqual(1.0, some.worth + sum(lost.values()))
        self.assertAlmostEqual(0.3, lost["late or unserved jobs"])
        self.assertAlmostEqual(0.02, lost["calls and processor"])
        self.assertAlmostEqual(0.03, lost["other prices"])

    def test_table_has_the_mean_of_each_kind_of_day(self) -> None:
        days = [day(), day(cloud_calls=0.1), day(slot="quiet")]
        lines = day_losses.table(days)
        self.assertEqual(4, len(lines))
        self.assertTrue(lines[2].startswith("| trouble | 2 | 0.650 |"))
        self.assertTrue(lines[3].startswith("| quiet | 1 | 0.700 |"))
