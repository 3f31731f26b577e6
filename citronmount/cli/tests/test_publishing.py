import unittest

import msgspec

from citronmount.cli import api_client
from citronmount.cli import output
from citronmount.cli import publishing
from citronmount.cli.tests import fakes
from citronmount.config import sheet
from citronmount.core import codes
from citronmount.service import bodies

_CODES = codes.ResultCode
_CONTENT = sheet.load("examples/hanbit/sheet.csv")
_OTHER = sheet.load("examples/perchero/sheet.csv")


def _make_publish_body(code, version=4):
    return bodies.PublishBody(
        code=int(code), name=code.name, detail="", version=version
    )


def _in_force(content, version=5):
    content = msgspec.structs.replace(content, version=version)
    return bodies.ConfigurationBody(version=version, content=content)


class PublishingTest(unittest.TestCase):
    def publish(self, put_reply, get_reply):
        servers = fakes.ScriptedServers(a={"PUT": put_reply, "GET": get_reply})
        client = api_client.Client(servers="a", transport=servers)
        published = fakes.run_to_completion(
            publishing.publish(client, _CONTENT, 4, "planner")
        )
        return codes.ResultCode(published.code), publishing.exit_code_of(
            published
        )

    def test_unknown_outcomes_are_resolved_by_the_configuration_in_force(self):
        cases = (
            (_CODES.CONFIGURATION_OUTCOME_UNKNOWN, _CONTENT, output.Exit.OK),
            (_CODES.CONFIGURATION_OUTCOME_UNKNOWN, _OTHER, output.Exit.FAILED),
            (_CODES.CONFIGURATION_STALE_BASE, _CONTENT, output.Exit.OK),
            (_CODES.CONFIGURATION_STALE_BASE, _OTHER, output.Exit.FAILED),
        )
        for code, content, expected in cases:
            with self.subTest(code=code, expected=expected):
                result_code, exit_code = self.publish(
                    _make_publish_body(code), _in_force(content)
                )
                self.assertEqual(exit_code, expected)
                succeeds = expected is output.Exit.OK
                accepted = result_code is _CODES.CONFIGURATION_ACCEPTED
                self.assertEqual(accepted, succeeds)

    def test_results_with_a_known_outcome_are_returned_unchanged(self):
        for code, expected in (
            (_CODES.CONFIGURATION_ACCEPTED, output.Exit.OK),
            (_CODES.CONFIGURATION_INVALID, output.Exit.BAD_INPUT),
        ):
            unused = AssertionError("expected no read of the configuration")
            result_code, exit_code = self.publish(
                _make_publish_body(code), unused
            )
            self.assertEqual((result_code, exit_code), (code, expected))


if __name__ == "__main__":
    unittest.main()
