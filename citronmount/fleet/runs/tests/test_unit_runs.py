import unittest

from citronmount.core import ids
from citronmount.fleet.runs import run_states
from citronmount.fleet.runs import unit_runs
from citronmount.workflow import records
from citronmount.workflow import spec
from citronmount.workflow import units

STEP = spec.Step(tasks=3, gang=True)
PLACES = [
    records.Place(worker=ids.WorkerId(f"w{number}"), life_ms=1)
    for number in range(3)
]


def make_run(change: records.UnitChanged | None = None) -> unit_runs.Run:
    terms = spec.QueueTerms(
        queue=spec.QueueName("q"), service=spec.ServiceName("s")
    )
    workflow = spec.Workflow(job=ids.JobId("j"), payload="", steps=(STEP,))
    return unit_runs.Run(
        key=units.UnitKey(job=ids.JobId("j"), occurrence=0, step=0),
        step=STEP,
        submission=spec.Submission(
            workflow=workflow,
            account=ids.AccountId("a"),
            terms=terms,
            accepted_ms=0,
        ),
        number=1,
        places=change.places if change else PLACES,
        task_positions=change.task_positions if change else (),
        phase=run_states.RunPhase.ACTIVE,
    )


class RestoredRunTest(unittest.TestCase):
    def test_live_members_keep_their_tasks_after_a_takeover(self) -> None:
        run = make_run()
        run.members[0].state = run_states.MemberState.GONE
        change = run.to_record(records.UnitStatus.WAITING)
        encoded = records.encode(change)
        decoded = records.decode(records.key_of(change), encoded)
        restored = make_run(decoded)
        self.assertEqual(
            {"j.0.0.1": "w1", "j.0.0.2": "w2"},
            {each.task: each.place.worker for each in restored.members},
        )

    def test_placed_run_is_restored_whole(self) -> None:
        change = make_run().to_record(records.UnitStatus.PLACED)
        self.assertEqual((), change.task_positions)
        self.assertEqual(3, len(make_run(change).members))
