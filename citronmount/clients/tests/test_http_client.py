import unittest

from twisted.internet import defer
from twisted.internet import task
from twisted.python import failure
from twisted.web import iweb

from citronmount.clients import http_client
from citronmount.clients.tests import slow_response

TIMEOUT_MS = 600
STALL_TIMEOUT_MS = 500
MALFORMED_ADDRESSES = (
    "",
    "10.0.0.1",
    "10.0.0.1:port",
    "10.0.0.1:80800",
    "10.0.0.1:0",
    "10.0.0.1:-1",
    "10.0.0.256:80",
    "runner.example:80",
    "10.0.0.1:80/path?query",
    "\0:80",
)


class CancelledCallTest(unittest.TestCase):
    """A cancelled call must not look like one without an answer."""

    def cancelled_call(self, agent: iweb.IAgent) -> failure.Failure:
        client = http_client.HttpClient(reactor=task.Clock(), agent=agent)
        results: list[failure.Failure] = []
        call = client.call("GET", "127.0.0.1:80", "/page", TIMEOUT_MS)
        call.addErrback(results.append)
        call.cancel()
        (result,) = results
        return result

    def test_before_the_response(self) -> None:
        agent = slow_response.SilentAgent()
        self.assertTrue(self.cancelled_call(agent).check(defer.CancelledError))
        self.assertTrue(agent.cancelled)

    def test_while_the_body_arrives(self) -> None:
        agent = slow_response.OneResponseAgent(slow_response.SlowResponse())
        self.assertTrue(self.cancelled_call(agent).check(defer.CancelledError))


class MalformedAddressTest(unittest.TestCase):
    """A call to an address of another writer must fail as not sent."""

    def test_call_fails_without_an_attempt(self) -> None:
        # Raised out of the client, or counted as perhaps sent.
        agent = slow_response.SilentAgent()
        client = http_client.HttpClient(reactor=task.Clock(), agent=agent)
        for address in MALFORMED_ADDRESSES:
            with self.subTest(address=address):
                results: list[failure.Failure] = []
                call = client.call("POST", address, "/page", TIMEOUT_MS)
                call.addErrback(results.append)
                (result,) = results
                self.assertIsInstance(result.value, http_client.NoAnswerError)
                self.assertFalse(result.value.sent)


class TransferTimeoutTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = task.Clock()
        self.response = slow_response.SlowResponse()
        self.client = http_client.HttpClient(
            reactor=self.clock,
            agent=slow_response.OneResponseAgent(self.response),
        )
        self.results: list[object] = []

    def call(self, **options: int) -> None:
        call = self.client.call(
            "GET", "127.0.0.1:80", "/page", TIMEOUT_MS, **options
        )
        call.addBoth(self.results.append)

    def receive(self, parts: int) -> None:
        for _ in range(parts):
            self.clock.advance(0.4)
            self.response.reader.dataReceived(b"12345")

    def test_large_page_on_a_slow_link_is_received_whole(self) -> None:
        self.call(stall_timeout_ms=STALL_TIMEOUT_MS)
        self.receive(parts=8)
        self.response.finish()
        self.assertEqual(b"12345" * 8, self.results[0].body)

    def test_transfer_that_stalls_times_out(self) -> None:
        self.call(stall_timeout_ms=STALL_TIMEOUT_MS)
        self.receive(parts=3)
        self.clock.advance(0.6)
        self.assertIsInstance(self.results[0].value, http_client.NoAnswerError)

    def test_error_tells_a_slow_transfer_from_a_silent_peer(self) -> None:
        self.call(stall_timeout_ms=STALL_TIMEOUT_MS)
        self.receive(parts=3)
        self.clock.advance(0.6)
        self.assertIn("got 15 bytes", str(self.results[0].value))
        self.results.clear()
        self.call(stall_timeout_ms=STALL_TIMEOUT_MS)
        self.clock.advance(0.61)
        self.assertIn("no answer within", str(self.results[0].value))

    def test_response_without_a_body_times_out_as_before(self) -> None:
        self.call(stall_timeout_ms=STALL_TIMEOUT_MS)
        self.clock.advance(0.61)
        self.assertEqual(1, len(self.results))

    def test_endless_transfer_ends_at_the_longest_time(self) -> None:
        self.call(stall_timeout_ms=STALL_TIMEOUT_MS)
        for _ in range(60):
            self.clock.advance(0.4)
            if not self.results:
                self.response.reader.dataReceived(b"1")
        self.assertIsInstance(self.results[0].value, http_client.NoAnswerError)

    def test_other_calls_keep_their_time_limit(self) -> None:
        self.call()
        self.clock.advance(0.4)
        self.response.reader.dataReceived(b"12345")
        self.clock.advance(0.3)
        self.assertIsInstance(self.results[0].value, http_client.NoAnswerError)
