import unittest

from citronmount.core import ids
from citronmount.fleet import advice_cache
from citronmount.fleet import commands
from citronmount.fleet import worker_directory
from citronmount.workflow import spec

STEP = advice_cache.StepId("j.0.0")


def worker(name: str, life_ms: int = 1) -> worker_directory.Worker:
    return worker_directory.Worker(
        worker=ids.WorkerId(name),
        life_ms=life_ms,
        machine=name,
        address="",
        failure_domain=ids.FailureDomainId("fd"),
        service=spec.ServiceName("s"),
        state=worker_directory.WorkerState.READY,
        capacity=spec.Demand(),
        labels=frozenset(),
        rack=ids.RackId("r"),
    )


class AdviceBookTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = advice_cache.AdviceCache()
        self.workers = [worker("a"), worker("b")]

    def ask(self, now_ms: int) -> commands.RequestAdvice | None:
        return self.cache.next_question(STEP, self.workers, now_ms)

    def test_granted_workers_have_a_ticket_for_its_time(self) -> None:
        advice_request = self.ask(0)
        answer = commands.AdviceAnswer(
            tickets={ids.WorkerId("a"): "t"}, valid_ms=3_000
        )
        self.cache.answered(advice_request, answer, 10)
        self.assertEqual("t", self.cache.ticket(STEP, self.workers[0], 2_000))
        self.assertEqual("", self.cache.ticket(STEP, self.workers[1], 2_000))
        self.assertEqual("", self.cache.ticket(STEP, self.workers[0], 3_000))
        self.assertEqual("", self.cache.ticket(STEP, worker("a", 2), 100))

    def test_refused_worker_is_not_asked_about_again(self) -> None:
        self.cache.answered(
            self.ask(0), commands.AdviceAnswer(tickets={}, valid_ms=3_000), 10
        )
        self.assertIsNone(self.ask(20))

    def test_one_question_at_a_time_and_a_pause_after_silence(self) -> None:
        self.assertIsNotNone(self.ask(0))
        self.assertIsNone(self.ask(1))
        self.cache.unanswered(10)
        self.assertIsNone(self.ask(11))
        self.assertIsNotNone(self.ask(10 + advice_cache.RETRY_MS))


if __name__ == "__main__":
    unittest.main()
