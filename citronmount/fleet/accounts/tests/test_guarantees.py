import unittest

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.accounts import guarantees
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.fleet.tests import planning_fixture
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

URGENT = spec.QueueTerms(
    queue=spec.QueueName("urgent"),
    service=planning_fixture.SERVICE,
    priority=guarantees.HIGHEST_PRIORITY,
)
ACME = fleet_configuration.Account(
    account=ids.AccountId("acme"),
    keys=frozenset(),
    guaranteed_accelerators=1,
)


def make_run(account: str, accelerators: int) -> unit_runs.Run:
    demand = spec.Demand(
        millicores=1_000, memory_mb=100, accelerators=accelerators
    )
    step = spec.Step(tasks=1, demand=demand, estimate_ms=1_000)
    job = ids.JobId(f"{account}-{accelerators}")
    (key,) = units.units_of_step(job, 0, 0, step)
    return unit_runs.Run(
        key=key,
        step=step,
        submission=spec.Submission(
            workflow=spec.Workflow(job=job, payload="", steps=(step,)),
            account=ids.AccountId(account),
            terms=URGENT,
            accepted_ms=0,
        ),
        number=1,
        places=[records.Place(worker=ids.WorkerId("w"), life_ms=1)],
        phase=run_states.RunPhase.ACTIVE,
        now_ms=0,
    )


class GuaranteesTest(unittest.TestCase):
    def guaranteed_units(self, *runs: unit_runs.Run) -> set[units.UnitId]:
        return guarantees.Guarantees(
            accounts=[ACME], runs=runs
        ).guaranteed_units

    def test_run_of_an_account_that_is_not_configured(self) -> None:
        # A public queue's job has no account; a running job's may be removed.
        self.assertEqual(set(), self.guaranteed_units(make_run("", 0)))
        self.assertEqual(set(), self.guaranteed_units(make_run("gone", 1)))

    def test_run_without_accelerators_is_outside_every_guarantee(self) -> None:
        # As for waiting units, which `covers` refuses.
        without, inside = make_run("acme", 0), make_run("acme", 1)
        self.assertEqual({inside.unit}, self.guaranteed_units(without, inside))
