import random
import unittest

from citronmount.core import shares
from citronmount.core.tests import fixtures

FAILURE_DOMAINS = ("z-a", "z-b", "z-c")


def random_configuration(rng):
    guarantees = [
        fixtures.guarantee(
            f"p{rng.randrange(6)}",
            rng.randint(1, 7),
            rng.randint(1, 4),
            rng.choice((1, 2, 8)),
            "failure_domain",
            failure_domain=rng.choice((None, None, *FAILURE_DOMAINS)),
        )
        for _ in range(rng.randint(1, 12))
    ]
    return fixtures.configuration(
        guarantees=guarantees,
        allowances={f"t{n}": rng.randrange(100) for n in range(3)},
        failure_domains=FAILURE_DOMAINS,
        out=rng.sample(FAILURE_DOMAINS, rng.randrange(4)),
    )


class SplitTest(unittest.TestCase):
    def test_shares_add_up_to_configuration(self):
        rng = random.Random(1)
        for _ in range(300):
            configuration = random_configuration(rng)
            split = shares.split(configuration)
            for row, guarantee in enumerate(configuration.guarantees):
                copies = [
                    part.copies
                    for share in split.values()
                    for part in share.guarantees
                    if part.row == row
                ]
                self.assertEqual(sum(copies), guarantee.copies)
            for allowance in configuration.allowances:
                parts = [
                    share.allowances.get(allowance.account, 0)
                    for share in split.values()
                ]
                self.assertEqual(sum(parts), allowance.accelerators)

    def test_remaining_copies_are_spread_evenly(self):
        guarantees = [
            fixtures.guarantee(f"p{n}", 1, 4, 8, "rack", failure_domain=None)
            for n in range(6)
        ]
        configuration = fixtures.configuration(
            guarantees=guarantees, failure_domains=FAILURE_DOMAINS
        )
        copies_held = [
            len(s.guarantees) for s in shares.split(configuration).values()
        ]
        self.assertEqual(copies_held, [2, 2, 2])

    def test_failure_domain_out_of_service_gets_no_copies(self):
        guarantees = [fixtures.guarantee("p", 3, 1, 8, failure_domain=None)]
        configuration = fixtures.configuration(
            guarantees=guarantees, failure_domains=FAILURE_DOMAINS, out=["z-b"]
        )
        split = shares.split(configuration)
        self.assertEqual(split["z-b"].guarantees, ())

    def test_home_domains_can_hold_the_job(self):
        guarantees = [
            fixtures.guarantee("p", 1, 4, 8, "rack", failure_domain="z-c")
        ]
        configuration = fixtures.configuration(
            guarantees=guarantees,
            allowances={"t": 8},
            failure_domains=FAILURE_DOMAINS,
        )
        gang = fixtures.spec("g", "p", 4, 8, "rack")
        self.assertEqual(shares.rank_homes(configuration, gang)[0], "z-c")
        trial = fixtures.spec("t", "t", 1, 8)
        self.assertEqual(len(shares.rank_homes(configuration, trial)), 1)


if __name__ == "__main__":
    unittest.main()
