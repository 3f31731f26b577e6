import unittest

from citronmount.core import ids
from citronmount.fleet import advice
from citronmount.fleet import orders
from citronmount.fleet import workers
from citronmount.workflow import spec

STEP = advice.StepId("j.0.0")


def worker(name: str, life_ms: int = 1) -> workers.Worker:
    return workers.Worker(
        worker=ids.WorkerId(name),
        life_ms=life_ms,
        machine=name,
        address="",
        failure_domain=ids.FailureDomainId("fd"),
        service=spec.ServiceName("s"),
        state=workers.WorkerState.READY,
        capacity=spec.Demand(),
        labels=frozenset(),
        rack=ids.RackId("r"),
    )


class AdviceBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.book = advice.AdviceBook()
        self.workers = [worker("a"), worker("b")]

    def ask(self, now_ms: int) -> orders.Ask | None:
        return self.book.next_question(STEP, self.workers, now_ms)

    def test_granted_workers_have_a_ticket_for_its_time(self) -> None:
        question = self.ask(0)
        grants = orders.Grants(tickets={ids.WorkerId("a"): "t"}, valid_ms=3_000)
        self.book.answered(question, grants, 10)
        self.assertEqual("t", self.book.ticket(STEP, self.workers[0], 2_000))
        self.assertEqual("", self.book.ticket(STEP, self.workers[1], 2_000))
        self.assertEqual("", self.book.ticket(STEP, self.workers[0], 3_000))
        self.assertEqual("", self.book.ticket(STEP, worker("a", 2), 100))

    def test_refused_worker_is_not_asked_about_again(self) -> None:
        self.book.answered(
            self.ask(0), orders.Grants(tickets={}, valid_ms=3_000), 10
        )
        self.assertIsNone(self.ask(20))

    def test_one_question_at_a_time_and_a_pause_after_silence(self) -> None:
        self.assertIsNotNone(self.ask(0))
        self.assertIsNone(self.ask(1))
        self.book.unanswered(10)
        self.assertIsNone(self.ask(11))
        self.assertIsNotNone(self.ask(10 + advice.RETRY_MS))


if __name__ == "__main__":
    unittest.main()
