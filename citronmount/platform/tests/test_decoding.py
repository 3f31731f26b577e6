import pathlib
import unittest

from click import testing
import msgspec

from citronmount.core import ids
from citronmount.fleet import worker_directory
from citronmount.fleet_service import ports
from citronmount.fleet_service import vm_settings
from citronmount.platform import framing
from citronmount.platform import job_bodies
from citronmount.platform import settings_file
from citronmount.platform import topic_records
from citronmount.service import daemon
from citronmount.workflow import spec

JOB = ids.JobId("5c0e7a21d94b36f8")
SETTINGS = b"""
node_name = "edge-a-1"
ip = "10.1.0.19"
zone = "a"
unknown = 1
[listen_addrs]
frontend = "10.1.0.19:8521"
ready = "10.1.0.19:8523"
[limits]
cpu_quota = 0.5
cores = 2
[bounds]
hold_max_ms = 10000
far_factor = 3
[platform]
address = "10.200.1.7:8524"
"""
ENTRY = {
    "backend": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "state": "ready",
    "free_resources": {"cpu": 16000, "mem_mb": 32768},
    "labels": ["kind", "r1-3"],
    "born": 17,
}


def record(key: str, value: object) -> ports.LogRecord:
    data = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return ports.LogRecord(key=key, value=data or None, offset=3)


class SettingsTest(unittest.TestCase):
    def test_fields_are_read_and_unknown_ones_ignored(self) -> None:
        read = settings_file.decode(SETTINGS)
        self.assertEqual("10.200.1.7:8524", read.log_address)
        self.assertEqual(1.0, read.processor_share)
        self.assertEqual(10_000, read.bounds.max_lease_ms)

    def test_faults_are_told(self) -> None:
        for data in (b"", b"x=", SETTINGS.replace(b'"a"', b"3"), b"\xff"):
            with self.assertRaises(vm_settings.SettingsError):
                settings_file.decode(data)


class CheckTest(unittest.TestCase):
    def check(self, data: bytes) -> testing.Result:
        runner = testing.CliRunner()
        with runner.isolated_filesystem():
            pathlib.Path("boot.toml").write_bytes(data)
            arguments = ["--platform", "--check", "boot.toml"]
            return runner.invoke(daemon.main, arguments)

    def test_daemon_checks_the_platforms_settings(self) -> None:
        self.assertEqual(0, self.check(SETTINGS).exit_code)
        result = self.check(SETTINGS.replace(b'zone = "a"', b""))
        self.assertEqual(2, result.exit_code)
        self.assertIn("zone", result.output)


class FramingTest(unittest.TestCase):
    def test_records_survive(self) -> None:
        body = framing.encode([("k", b"value"), ("gone", None)])
        head = (9).to_bytes(8, "big") + bytes(8)
        page = framing.decode_page(head + body, 7)
        pairs = [(each.key, each.value, each.offset) for each in page.records]
        self.assertEqual([("k", b"value", 7), ("gone", None, 8)], pairs)
        self.assertEqual((9, 9), (page.next_offset, page.end_offset))

    def test_page_cut_short_is_refused(self) -> None:
        body = bytes(16) + framing.encode([("k", b"value")])
        for length in (0, 15, 18, len(body) - 1):
            with self.assertRaises(framing.BadPageError):
                framing.decode_page(body[:length], 0)


class EntryTest(unittest.TestCase):
    def decode(self, value: object) -> worker_directory.Worker | None:
        event = topic_records.decode(ports.Topic.WORKERS, record("i-1", value))
        self.assertEqual("i-1", event.worker)
        return event.entry

    def test_entry_of_a_runner(self) -> None:
        entry = self.decode(ENTRY)
        self.assertEqual(17, entry.life_ms)
        self.assertEqual("r1-3", entry.rack)
        self.assertEqual(
            spec.Demand(millicores=16_000, memory_mb=32_768), entry.capacity
        )

    def test_entry_that_cannot_be_read_names_no_worker(self) -> None:
        bad = (
            b"",
            b"\xff\x00",
            {},
            {**ENTRY, "state": "odd"},
            {**ENTRY, "labels": []},
            {**ENTRY, "born": 1.5},
            {**ENTRY, "address": None},
        )
        for value in bad:
            self.assertIsNone(self.decode(value), value)


class ConfigurationTest(unittest.TestCase):
    def decode(self, key: str, value: object) -> ports.LogEvent | None:
        return topic_records.decode(
            ports.Topic.CONFIGURATION, record(key, value)
        )

    def test_version(self) -> None:
        route = {
            "name": "r",
            "host": "h.example",
            "path_prefix": "/p/",
            "backend": "s",
            "slo_ms": 250,
            "priority": 0,
            "max_attempts": 3,
            "slack_factor": 1.5,
        }
        longer = {**route, "name": "r2", "path_prefix": "/p/q/"}
        tenant = {"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 32}}
        said = {
            "version": 7,
            "routes": [route, longer],
            "tenants": [tenant],
            "other": 1,
        }
        read = self.decode("config", said).configuration
        self.assertEqual("r2", read.queue_at("h.example", "/p/q/1").terms.queue)
        self.assertEqual("r", read.queue_at("h.example", "/p/1").terms.queue)
        self.assertIsNone(read.queue_at("other", "/p/1"))
        self.assertEqual("t", read.account_of("k"))
        self.assertIsNone(read.account_of("x"))
        self.assertEqual(32, read.accounts[0].guaranteed_accelerators)

    def test_unreadable_version_is_ignored(self) -> None:
        self.assertIsNone(self.decode("config", b"{"))
        self.assertIsNone(self.decode("unknown", {}))

    def test_domain_out_of_service_and_back(self) -> None:
        self.assertTrue(self.decode("evacuate/a", {}).out)
        self.assertFalse(self.decode("evacuate/a", b"").out)


class JobBodyTest(unittest.TestCase):
    def test_step_fields_get_names_that_say_what_they_hold(self) -> None:
        phase = {
            "count": 4,
            "cpu": 500,
            "mem_mb": 256,
            "gpu": 1,
            "estimate_ms": 900,
            "gang": True,
            "rack_local": True,
            "constraints": "kind",
            "affinity_to": "r1",
            "anti_affinity": 2,
            "checkpointing": True,
            "may_miss": 1,
        }
        body = msgspec.json.encode(
            {"spec": "text", "phases": [phase, {"count": 1, "after": [0]}]}
        )
        job = job_bodies.decode_job(JOB, body)
        step = job.steps[0]
        self.assertEqual("text", job.payload)
        self.assertEqual(("kind", "r1"), (step.worker_label, step.data_rack))
        self.assertEqual((2, 1), (step.max_tasks_per_worker, 1))
        self.assertEqual((0,), job.steps[1].after)

    def test_bodies_that_describe_no_job(self) -> None:
        one = {"count": 1}
        bad = (
            b"",
            b"\xff",
            b"[]",
            b'{"spec":"x"}',
            msgspec.json.encode({"spec": "x", "phases": []}),
            msgspec.json.encode({"spec": "x", "phases": [{"count": 0}]}),
            msgspec.json.encode({"spec": "x", "phases": [{**one, "cpu": -1}]}),
            msgspec.json.encode(
                {"spec": "x", "phases": [one, {**one, "after": [1]}]}
            ),
            msgspec.json.encode({"spec": 1, "phases": [one]}),
        )
        for body in bad:
            with self.assertRaises(job_bodies.BadJobError, msg=body):
                job_bodies.decode_job(JOB, body)

    def test_ids(self) -> None:
        self.assertTrue(job_bodies.is_job_id(JOB))
        for text in ("", "5C0E7A21D94B36F8", JOB + "0", "x" * 16):
            self.assertFalse(job_bodies.is_job_id(text))


if __name__ == "__main__":
    unittest.main()
