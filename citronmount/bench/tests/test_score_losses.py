import unittest

from citronmount.bench import score_losses

LossCause = score_losses.LossCause


def _make_day(
    kind: str = "trouble", prices: tuple[tuple[LossCause, float], ...] = ()
) -> score_losses.ScoredDay:
    return score_losses.ScoredDay(
        worth=0.7 - sum(price for _, price in prices),
        kind=kind,
        parts=[(0.5, 0.8), (0.5, 0.6)],
        prices=list(prices),
    )


class ScoreLossesTest(unittest.TestCase):
    def test_score_and_losses_add_up_to_the_credit_owed(self) -> None:
        day = _make_day(
            prices=((LossCause.CALLS, 0.02), (LossCause.CALLS, 0.03))
        )
        lost = score_losses.losses_by_cause(day)
        self.assertAlmostEqual(1.0, day.worth + sum(lost.values()))
        self.assertAlmostEqual(0.3, lost[LossCause.LATE])
        self.assertAlmostEqual(0.05, lost[LossCause.CALLS])

    def test_table_has_the_mean_of_each_kind_of_day(self) -> None:
        days = [
            _make_day(),
            _make_day(prices=((LossCause.MEMORY, 0.1),)),
            _make_day(kind="quiet"),
        ]
        lines = score_losses.markdown_table(days)
        self.assertEqual(4, len(lines))
        self.assertTrue(lines[2].startswith("| trouble | 2 | 0.650 |"))
        self.assertTrue(lines[3].startswith("| quiet | 1 | 0.700 |"))
