import unittest

import msgspec
from twisted.internet import defer

from citronmount.clients import http_client
from citronmount.platform import store_log


class OneAnswerClient:
    """Answers each call with the same body."""

    def __init__(self, body: object) -> None:
        self.body = msgspec.json.encode(body)

    async def call(
        self, *args: object, **options: object
    ) -> http_client.HttpResponse:
        del args, options
        return http_client.HttpResponse(status=200, body=self.body)


class MembersTest(unittest.TestCase):
    def members(self, *rows: list[object]) -> frozenset[str]:
        log = store_log.StoreLog(
            client=OneAnswerClient({"parts": rows}), address="", member="me"
        )
        results: list[frozenset[str]] = []
        call = defer.ensureDeferred(log.members(1_000))
        call.addCallback(results.append)
        return results[0]

    def test_partition_without_a_member_names_no_member(self) -> None:
        rows = [["keyed.jobs", part, "", 0] for part in range(3)]
        self.assertEqual(frozenset(), self.members(*rows))

    def test_members_are_named_once(self) -> None:
        rows = [["keyed.jobs", 0, "a", 0], ["keyed.jobs", 1, "a", 0]]
        self.assertEqual(frozenset({"a"}), self.members(*rows))
