import unittest

from citronmount.core import ids
from citronmount.fleet import commands
from citronmount.fleet.placement import advice_cache
from citronmount.fleet.workers import worker_directory
from citronmount.workflow import spec

STEP = advice_cache.StepId("j.0.0")


def make_worker(name: str, life_ms: int = 1) -> worker_directory.Worker:
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


class AdviceCacheTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cache = advice_cache.AdviceCache()
        self.workers = [make_worker("a"), make_worker("b")]

    def next_request(self, now_ms: int) -> commands.RequestAdvice | None:
        return self.cache.next_request(STEP, self.workers, now_ms)

    def test_ticket_is_void_after_expiry_or_for_another_incarnation(
        self,
    ) -> None:
        advice_request = self.next_request(0)
        answer = commands.AdviceAnswer(
            tickets={ids.WorkerId("a"): "t"}, valid_ms=3_000
        )
        self.cache.store_answer(advice_request, answer, 10)
        self.assertEqual("t", self.cache.ticket(STEP, self.workers[0], 2_000))
        self.assertEqual("", self.cache.ticket(STEP, self.workers[1], 2_000))
        self.assertEqual("", self.cache.ticket(STEP, self.workers[0], 3_000))
        self.assertEqual("", self.cache.ticket(STEP, make_worker("a", 2), 100))

    def test_no_request_for_workers_already_refused(self) -> None:
        self.cache.store_answer(
            self.next_request(0),
            commands.AdviceAnswer(tickets={}, valid_ms=3_000),
            10,
        )
        self.assertIsNone(self.next_request(20))

    def test_one_pending_request_and_a_delayed_retry(self) -> None:
        self.assertIsNotNone(self.next_request(0))
        self.assertIsNone(self.next_request(1))
        self.cache.request_failed(10)
        self.assertIsNone(self.next_request(11))
        self.assertIsNotNone(self.next_request(10 + advice_cache.RETRY_MS))


if __name__ == "__main__":
    unittest.main()
