import json
import pathlib
import time
import unittest

from click import testing

from citronmount.bench import loopback_cluster
from citronmount.cli import main
from citronmount.config import pool_file
from citronmount.testing import documents

_MEMBERSHIP = "/v1/membership"
_POLL_S = 0.1
_SHEET = "examples/hanbit/sheet.csv"
_TIMEOUT_S = 60


def _send_example(server, example, variables):
    """Sends the request of a documented curl command to a server."""
    path = example.url.removeprefix("http://$SERVER")
    for name, value in variables.items():
        path = path.replace(f"${name}", value)
    body = example.body.encode()
    if body.startswith(b"@"):
        body = pathlib.Path(body[1:].decode()).read_bytes()
    return loopback_cluster.call(server, example.method, path, body)


class LiveTest(unittest.TestCase):
    """Runs commands against daemon and stand-in processes on loopback."""

    def setUp(self):
        pool = pool_file.load("examples/hanbit/pool.toml")
        cluster = self.enterContext(loopback_cluster.open_cluster(pool, 1))
        self.servers = [vm.caller_address for vm in cluster.vms]
        self.wait_for(lambda member: member["alive"] and member["ready"])

    def wait_for(self, condition):
        deadline_s = time.monotonic() + _TIMEOUT_S
        remaining = list(self.servers)
        while remaining:
            self.assertLess(time.monotonic(), deadline_s, remaining)
            reply = loopback_cluster.call(remaining[0], "GET", _MEMBERSHIP)
            members = reply.body["members"]
            if len(members) == len(self.servers) and all(
                map(condition, members)
            ):
                remaining.pop(0)
            else:
                time.sleep(_POLL_S)

    def wait_for_configuration(self):
        self.wait_for(lambda member: member["config_version"] > 0)

    def run_command(self, *arguments, servers=None):
        servers = servers or self.servers
        return testing.CliRunner().invoke(
            main.main,
            arguments,
            env={"CITRONMOUNT_SERVER": " ".join(servers)},
        )

    def check_command(self, *arguments, **options):
        result = self.run_command(*arguments, **options)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.stdout

    def test_the_examples_of_the_api_page_get_the_documented_status(self):
        variables = {"JOB": ""}
        for example in documents.curl_examples(pathlib.Path("docs/API.md")):
            with self.subTest(example=example):
                reply = _send_example(self.servers[0], example, variables)
                self.assertEqual(reply.status, example.status, reply)
                job = reply.body.get("job", "")
                variables["JOB"] = variables["JOB"] or job
                if example.method == "PUT":
                    self.wait_for_configuration()
        self.assertTrue(variables["JOB"])

    def test_operators_and_callers_can_use_a_site_after_failover(self):
        unreachable_first = ("127.0.0.1:1", *self.servers)
        self.check_command(
            "sheet", "publish", _SHEET, servers=unreachable_first
        )
        self.wait_for_configuration()
        rejected = self.run_command(
            "sheet",
            "publish",
            "examples/perchero/sheet.csv",
            "--base-version",
            "0",
        )
        self.assertEqual(rejected.exit_code, 1, rejected.output)
        self.assertIn("CONFIGURATION_STALE_BASE", rejected.stdout)
        self.assertEqual(
            self.check_command("sheet", "diff", _SHEET), "no changes\n"
        )
        submitted = json.loads(
            self.check_command(
                "submit",
                "hana-mart",
                "rebuild",
                "--tasks",
                "4",
                "--accelerators",
                "8",
                "--adjacency",
                "rack",
                "--run-time-s",
                "0.5",
                "--wait",
                "--json",
            )
        )
        self.assertEqual(submitted["state"], "done")
        timeline = self.check_command("timeline", submitted["job"])
        for expected in (
            "job_accepted",
            "job_started",
            "job_ended",
            "# running",
        ):
            self.assertIn(expected, timeline)
        self.assertIn(submitted["job"], self.check_command("status"))
        answer = self.check_command("request", "hana-mart", "health 1")
        self.assertTrue(answer.endswith("health 1\n"))
        refused = self.run_command("submit", "nobody", "x", "--json")
        self.assertEqual(refused.exit_code, 2)
        self.assertEqual(json.loads(refused.stdout)["code"], 2001)
        self.check_command("drain", servers=self.servers[:1])
        self.check_command("submit", "hana-mart", "x")


if __name__ == "__main__":
    unittest.main()
