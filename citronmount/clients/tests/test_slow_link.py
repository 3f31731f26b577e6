import unittest

from twisted.internet import defer
from twisted.internet import task

from citronmount.clients import http_client
from citronmount.clients import messages
from citronmount.clients import platform_api
from citronmount.clients import wire_format
from citronmount.clients.tests import slow_response
from citronmount.core import ids

TIMEOUT_MS = 2_000
PART_BYTES = 1_000
PART_PERIOD_S = 0.4


class TransferCutOffTest(unittest.TestCase):
    """A large answer that arrives slowly is received, not asked for again."""

    def setUp(self) -> None:
        self.clock = task.Clock()
        self.response = slow_response.SlowResponse()
        self.http = http_client.HttpClient(
            reactor=self.clock,
            agent=slow_response.OneResponseAgent(self.response),
        )

    def assert_received(
        self, call: defer.Deferred[object], answer: object
    ) -> None:
        results: list[object] = []
        call.addBoth(results.append)
        body = wire_format.encode(answer)
        for start in range(0, len(body), PART_BYTES):
            self.clock.advance(PART_PERIOD_S)
            self.response.reader.dataReceived(body[start : start + PART_BYTES])
        self.response.finish()
        self.assertEqual([answer], results)

    def test_page_of_the_log(self) -> None:
        record = messages.LogRecord(
            offset=ids.Offset(0),
            record=ids.RecordId("r"),
            data=bytes(10 * PART_BYTES),
        )
        page = messages.LogPage(records=(record,), end=1, oldest=0)
        call = platform_api.read_log(
            self.http, "127.0.0.1:80", ids.StreamName("s"), 0, 9, TIMEOUT_MS
        )
        self.assert_received(call, page)

    def test_list_of_vms(self) -> None:
        vms = tuple(
            messages.ListedVm(
                vm=ids.VmId(f"vm-{number:04}"),
                failure_domain=ids.FailureDomainId("domain-1"),
                peer_address=f"10.0.0.{number}:7000",
            )
            for number in range(PART_BYTES // 10)
        )
        view = messages.PlatformView(vms=vms)
        call = platform_api.list_platform(self.http, "127.0.0.1:80", TIMEOUT_MS)
        self.assert_received(call, view)
