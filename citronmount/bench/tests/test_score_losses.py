import unittest

from citronmount.bench import score_losses

Cause = score_losses.LossCause


def day(
    kind: str = "trouble", prices: tuple[tuple[Cause, float], ...] = ()
) -> score_losses.ScoredDay:
    return score_losses.ScoredDay(
        worth=0.7 - sum(worth for _, worth in prices),
        kind=kind,
        parts=[(0.5, 0.8), (0.5, 0.6)],
        prices=list(prices),
    )


class DayLossesTest(unittest.TestCase):
    def test_worth_and_losses_add_up_to_the_credit_owed(self) -> None:
        some = day(prices=((Cause.CALLS, 0.02), (Cause.CALLS, 0.03)))
        lost = score_losses.losses_by_cause(some)
        self.assertAlmostEqual(1.0, some.worth + sum(lost.values()))
        self.assertAlmostEqual(0.3, lost[Cause.LATE])
        self.assertAlmostEqual(0.05, lost[Cause.CALLS])

    def test_table_has_the_mean_of_each_kind_of_day(self) -> None:
        days = [
            day(),
            day(prices=((Cause.MEMORY, 0.1),)),
            day(kind="quiet"),
        ]
        lines = score_losses.markdown_table(days)
        self.assertEqual(4, len(lines))
        self.assertTrue(lines[2].startswith("| trouble | 2 | 0.650 |"))
        self.assertTrue(lines[3].startswith("| quiet | 1 | 0.700 |"))
