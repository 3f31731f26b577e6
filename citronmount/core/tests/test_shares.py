import random
import unittest

from citronmount.core import shares
from citronmount.core.tests import fixtures

ZONES = ("z-a", "z-b", "z-c")


def random_configuration(rng):
    rows = [
        fixtures.guarantee(
            f"p{rng.randrange(6)}",
            rng.randint(1, 7),
            rng.randint(1, 4),
            rng.choice((1, 2, 8)),
            "failure_domain",
            zone=rng.choice((None, None, *ZONES)),
        )
        for _ in range(rng.randint(1, 12))
    ]
    return fixtures.configuration(
        guarantees=rows,
        allowances={f"t{n}": rng.randrange(100) for n in range(3)},
        zones=ZONES,
        out=rng.sample(ZONES, rng.randrange(4)),
    )


class SplitTest(unittest.TestCase):
    def test_parts_add_up_to_the_whole(self):
        rng = random.Random(1)
        for _ in range(300):
            made = random_configuration(rng)
            split = shares.split(made)
            for row, guarantee in enumerate(made.guarantees):
                copies = [
                    part.copies
                    for share in split.values()
                    for part in share.guarantees
                    if part.row == row
                ]
                self.assertEqual(sum(copies), guarantee.copies)
            for allowance in made.allowances:
                parts = [
                    share.allowances.get(allowance.account, 0)
                    for share in split.values()
                ]
                self.assertEqual(sum(parts), allowance.accelerators)

    def test_remaining_copies_are_spread(self):
        rows = [
            fixtures.guarantee(f"p{n}", 1, 4, 8, "rack", zone=None)
            for n in range(6)
        ]
        made = fixtures.configuration(guarantees=rows, zones=ZONES)
        held = [len(s.guarantees) for s in shares.split(made).values()]
        self.assertEqual(held, [2, 2, 2])

    def test_failure_domain_out_passes_its_copies_on(self):
        rows = [fixtures.guarantee("p", 3, 1, 8, zone=None)]
        made = fixtures.configuration(guarantees=rows, zones=ZONES, out=["z-b"])
        split = shares.split(made)
        self.assertEqual(split["z-b"].guarantees, ())

    def test_homes_hold_the_job(self):
        rows = [fixtures.guarantee("p", 1, 4, 8, "rack", zone="z-c")]
        made = fixtures.configuration(
            guarantees=rows, allowances={"t": 8}, zones=ZONES
        )
        gang = fixtures.spec("g", "p", 4, 8, "rack")
        self.assertEqual(shares.rank_homes(made, gang)[0], "z-c")
        trial = fixtures.spec("t", "t", 1, 8)
        self.assertEqual(len(shares.rank_homes(made, trial)), 1)


if __name__ == "__main__":
    unittest.main()
