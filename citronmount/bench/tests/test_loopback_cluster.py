"""End-to-end test with daemon processes on loopback."""

import json
import unittest

from citronmount.bench import loopback_cluster
from citronmount.bench import loopback_steps
from citronmount.clients import messages
from citronmount.config import pool_file
from citronmount.core import ids
from citronmount.core import jobs

_DOMAIN = ids.FailureDomainId("kr-a")
_SHEET = b"""\
kind,name,class,state,failure_domain,copies,tasks,accelerators,cores,\
memory_gb,adjacency
failure_domain,kr-a,,in,,,,,,,
client_account,hana,paying,,,,,,,,
client_account,duri,paying,,,,,,,,
guarantee,hana,,,,1,2,8,8,8,rack
"""


def _pool() -> pool_file.Pool:
    workers = tuple(
        messages.ListedTarget(
            name=f"w{number}",
            address="",
            failure_domain=_DOMAIN,
            rack=ids.RackId("r1"),
            capacity=jobs.Resources(accelerators=8, cores=64, memory_gb=128),
        )
        for number in range(2)
    )
    runner = messages.ListedTarget(
        name="u1", address="", failure_domain=_DOMAIN, slots=8, connections=60
    )
    return pool_file.Pool(workers=workers, runners=(runner,))


class LoopbackTest(unittest.TestCase):
    """Runs two daemons, a platform, two workers and a runner."""

    def test_published_cluster_runs_work_and_drains_with_status_0(self) -> None:
        with loopback_cluster.open_cluster(_pool()) as cluster:
            self.assertEqual(1, loopback_steps.publish(cluster, _SHEET))
            loopback_steps.wait_until_ready(cluster)
            first, second = cluster.vms
            gang = {
                "account": "hana",
                "tasks": 2,
                "per_task": {"accelerators": 8},
                "command": json.dumps({"run_ms": 100}),
            }
            single_task = {**gang, "account": "duri", "tasks": 1}
            job_ids = [
                loopback_steps.submit(first, body)
                for body in (gang, single_task)
            ]
            final_states = [
                loopback_steps.wait_for_result(second, job)["state"]
                for job in job_ids
            ]
            self.assertEqual(["done", "done"], final_states)
            body = {"account": "hana", "request": "q", "payload": "mine"}
            data = json.dumps(body).encode("ascii")
            answer = loopback_steps.call(second, "POST", "/v1/requests", data)
            self.assertEqual(1002, answer.body["code"])
            self.assertTrue(answer.body["payload"].endswith("mine"))
            loopback_steps.drain_all(cluster)
