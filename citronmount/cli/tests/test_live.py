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


def _curl(server, example, variables):
    path = example.url.removeprefix("http://$SERVER")
    for name, value in variables.items():
        path = path.replace(f"${name}", value)
    body = example.body.encode()
    if body.startswith(b"@"):
        body = pathlib.Path(body[1:].decode()).read_bytes()
    return loopback_cluster.call(server, example.method, path, body)


class LiveTest(unittest.TestCase):
    """Drives daemons and stand-ins that run as processes on loopback."""

    def setUp(self):
        pool = pool_file.load("examples/hanbit/pool.toml")
        cluster = self.enterContext(loopback_cluster.open_cluster(pool, 1))
        self.servers = [vm.caller_address for vm in cluster.vms]
        self.wait_for(lambda member: member["alive"] and member["ready"])

    def wait_for(self, wanted):
        deadline_s = time.monotonic() + _TIMEOUT_S
        waiting = list(self.servers)
        while waiting:
            self.assertLess(time.monotonic(), deadline_s, waiting)
            answer = loopback_cluster.call(waiting[0], "GET", _MEMBERSHIP)
            members = answer.body["members"]
            if len(members) == len(self.servers) and all(map(wanted, members)):
                waiting.pop(0)
            else:
                time.sleep(_POLL_S)

    def wait_for_configuration(self):
        self.wait_for(lambda member: member["config_version"] > 0)

    def run_tool(self, *arguments, servers=None):
        servers = servers or self.servers
        return testing.CliRunner().invoke(
            main.main,
            arguments,
            env={"CITRONMOUNT_SERVER": " ".join(servers)},
        )

    def check_tool(self, *arguments, **options):
        result = self.run_tool(*arguments, **options)
        self.assertEqual(result.exit_code, 0, result.output)
        return result.stdout

    def test_examples_of_the_api_page_answer_as_it_says(self):
        variables = {"JOB": ""}
        for example in documents.curl_examples(pathlib.Path("docs/API.md")):
            with self.subTest(example=example):
                answer = _curl(self.servers[0], example, variables)
                self.assertEqual(answer.status, example.status, answer)
                found = answer.body.get("job", "")
                variables["JOB"] = variables["JOB"] or found
                if example.method == "PUT":
                    self.wait_for_configuration()
        self.assertTrue(variables["JOB"])

    def test_an_operator_and_a_caller_drive_the_site(self):
        dead = ("127.0.0.1:1", *self.servers)
        self.check_tool("sheet", "publish", _SHEET, servers=dead)
        self.wait_for_configuration()
        lost = self.run_tool(
            "sheet",
            "publish",
            "examples/perchero/sheet.csv",
            "--base-version",
            "0",
        )
        self.assertEqual(lost.exit_code, 1, lost.output)
        self.assertIn("CONFIGURATION_STALE_BASE", lost.stdout)
        self.assertEqual(
            self.check_tool("sheet", "diff", _SHEET), "no changes\n"
        )
        submitted = json.loads(
            self.check_tool(
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
        story = self.check_tool("timeline", submitted["job"])
        for kind in ("job_accepted", "job_started", "job_ended", "# running"):
            self.assertIn(kind, story)
        self.assertIn(submitted["job"], self.check_tool("status"))
        answer = self.check_tool("request", "hana-mart", "health 1")
        self.assertTrue(answer.endswith("health 1\n"))
        refused = self.run_tool("submit", "nobody", "x", "--json")
        self.assertEqual(refused.exit_code, 2)
        self.assertEqual(json.loads(refused.stdout)["code"], 2001)
        self.check_tool("drain", servers=self.servers[:1])
        self.check_tool("submit", "hana-mart", "x")


if __name__ == "__main__":
    unittest.main()
