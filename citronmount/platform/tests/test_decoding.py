import pathlib
import unittest

from click import testing
import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet.workers import worker_directory
from citronmount.fleet_service import ports
from citronmount.fleet_service import vm_settings
from citronmount.platform import framing
from citronmount.platform import job_bodies
from citronmount.platform import settings_file
from citronmount.platform import topic_records
from citronmount.service import daemon
from citronmount.workflow import spec

# Nesting that exceeds the recursion limit of the decoders, in an unknown field.
NESTED = b'{"unknown":' + b"[" * 3_000 + b"]" * 3_000 + b"}"
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
RUNNER_ENTRY = {
    "backend": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "state": "ready",
    "free_resources": {"cpu": 16000, "mem_mb": 32768},
    "labels": ["kind", "r1-3"],
    "born": 17,
}
ROUTE = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/p/",
    "backend": "s",
    "slo_ms": 250,
    "priority": 0,
    "max_attempts": 3,
    "slack_factor": 1.5,
}


def make_record(key: str, value: object) -> ports.LogRecord:
    body = value if isinstance(value, bytes) else msgspec.json.encode(value)
    return ports.LogRecord(key=key, value=body or None, offset=3)


class SettingsFileTest(unittest.TestCase):
    def test_settings_are_decoded_and_unknown_keys_ignored(self) -> None:
        settings = settings_file.decode(SETTINGS)
        self.assertEqual("10.200.1.7:8524", settings.log_address)
        self.assertEqual(1.0, settings.processor_share)
        self.assertEqual(10_000, settings.bounds.max_lease_ms)

    def test_invalid_settings_raise_a_settings_error(self) -> None:
        invalid_files = (
            b"",
            b"x=",
            SETTINGS.replace(b'"a"', b"3"),
            b"\xff",
            b"x=" + b"[" * 3_000,
        )
        for data in invalid_files:
            with self.assertRaises(vm_settings.SettingsError):
                settings_file.decode(data)


class CheckSettingsTest(unittest.TestCase):
    def check(self, data: bytes) -> testing.Result:
        runner = testing.CliRunner()
        with runner.isolated_filesystem():
            pathlib.Path("boot.toml").write_bytes(data)
            arguments = ["--platform", "--check", "boot.toml"]
            return runner.invoke(daemon.main, arguments)

    def test_check_names_the_missing_key_and_exits_with_2(self) -> None:
        self.assertEqual(0, self.check(SETTINGS).exit_code)
        result = self.check(SETTINGS.replace(b'zone = "a"', b""))
        self.assertEqual(2, result.exit_code)
        self.assertIn("zone", result.output)


class FramingTest(unittest.TestCase):
    def test_encoded_records_decode_to_the_same_records(self) -> None:
        records = framing.encode([("k", b"value"), ("gone", None)])
        header = (9).to_bytes(8, "big") + bytes(8)
        page = framing.decode_page(header + records, 7)
        pairs = [(each.key, each.value, each.offset) for each in page.records]
        self.assertEqual([("k", b"value", 7), ("gone", None, 8)], pairs)
        self.assertEqual((9, 9), (page.next_offset, page.end_offset))

    def test_truncated_page_is_rejected(self) -> None:
        page = bytes(16) + framing.encode([("k", b"value")])
        for length in (0, 15, 18, len(page) - 1):
            with self.assertRaises(ports.UnknownOutcomeError):
                framing.decode_page(page[:length], 0)


class RunnerEntryTest(unittest.TestCase):
    def decode(self, value: object) -> worker_directory.Worker | None:
        event = topic_records.decode(
            ports.Topic.WORKERS, make_record("i-1", value)
        )
        self.assertEqual("i-1", event.worker)
        return event.entry

    def test_runner_entry_becomes_a_worker(self) -> None:
        entry = self.decode(RUNNER_ENTRY)
        self.assertEqual(17, entry.life_ms)
        self.assertEqual("r1-3", entry.rack)
        self.assertEqual(
            spec.Demand(millicores=16_000, memory_mb=32_768), entry.capacity
        )

    def test_invalid_runner_entry_counts_as_removed(self) -> None:
        invalid_values = (
            b"",
            b"\xff\x00",
            NESTED,
            {},
            {**RUNNER_ENTRY, "state": "odd"},
            {**RUNNER_ENTRY, "labels": []},
            {**RUNNER_ENTRY, "born": 1.5},
            {**RUNNER_ENTRY, "address": None},
            {**RUNNER_ENTRY, "address": "10.0.0.1:port"},
            {**RUNNER_ENTRY, "address": "10.0.0.1:80800"},
            {**RUNNER_ENTRY, "address": "runner.example:80"},
            {**RUNNER_ENTRY, "born": 1 << 64},
            {**RUNNER_ENTRY, "born": 1 << 62},
            {**RUNNER_ENTRY, "born": -1},
            {**RUNNER_ENTRY, "free_resources": {"gpu": -1}},
            {**RUNNER_ENTRY, "remaining_ms": -(1 << 64)},
            {**RUNNER_ENTRY, "free_resources": {"cpu": 1 << 64}},
        )
        for value in invalid_values:
            self.assertIsNone(self.decode(value), value)


class ConfigurationTest(unittest.TestCase):
    def decode(self, key: str, value: object) -> ports.LogEvent | None:
        return topic_records.decode(
            ports.Topic.CONFIGURATION, make_record(key, value)
        )

    def test_configuration_routes_by_longest_prefix_and_finds_accounts(
        self,
    ) -> None:
        longer_prefix = {**ROUTE, "name": "r2", "path_prefix": "/p/q/"}
        tenant = {"name": "t", "api_keys": ["k"], "guaranteed": {"gpu": 32}}
        published = {
            "version": 7,
            "routes": [ROUTE, longer_prefix],
            "tenants": [tenant],
            "other": 1,
        }
        configuration = self.decode("config", published).configuration
        self.assertEqual(
            "r2", configuration.queue_at("h.example", "/p/q/1").terms.queue
        )
        self.assertEqual(
            "r", configuration.queue_at("h.example", "/p/1").terms.queue
        )
        self.assertIsNone(configuration.queue_at("other", "/p/1"))
        self.assertEqual("t", configuration.account_of("k"))
        self.assertIsNone(configuration.account_of("x"))
        self.assertEqual(32, configuration.accounts[0].guaranteed_accelerators)

    def test_weight_and_maximum_of_a_tenant_become_its_account_quota(
        self,
    ) -> None:
        limits = {"cpu": 517_466, "mem_mb": 894_008, "gpu": 256}
        tenants = [
            {"name": "t", "weight": 2, "max_count": limits},
            {"name": "partial", "max_count": {"gpu": 3}},
            {"name": "unlimited"},
        ]
        published = {"version": 7, "tenants": tenants}
        configuration = self.decode("config", published).configuration
        self.assertEqual(
            [2.0, 0.0, 0.0], [a.weight for a in configuration.accounts]
        )
        quota = configuration.quota_of(ids.AccountId("t"))
        self.assertEqual(
            (517_466, 894_008, 256),
            (quota.max_millicores, quota.max_memory_mb, quota.max_accelerators),
        )
        partial = configuration.quota_of(ids.AccountId("partial"))
        self.assertEqual(
            (0, 3), (partial.max_millicores, partial.max_accelerators)
        )
        self.assertEqual(
            fleet_configuration.NO_QUOTA,
            configuration.quota_of(ids.AccountId("unlimited")),
        )

    def test_invalid_configuration_and_unknown_keys_are_ignored(self) -> None:
        for value in (b"{", b"\xff", NESTED):
            self.assertIsNone(self.decode("config", value))
        self.assertIsNone(self.decode("unknown", {}))

    def test_terms_that_no_record_can_hold_are_ignored(self) -> None:
        for field, value in (
            ("slo_ms", 1e308),
            ("slo_ms", -1e19),
            ("slack_factor", 1e308),
            ("slack_factor", -1),
            ("priority", 1 << 64),
            ("max_attempts", 1 << 64),
            ("timeout_ms", -(1 << 64)),
        ):
            published = {"version": 7, "routes": [{**ROUTE, field: value}]}
            self.assertIsNone(self.decode("config", published), field)
        published = {"version": 7, "routes": [{**ROUTE, "slo_ms": 9e18}]}
        self.assertIsNotNone(self.decode("config", published))

    def test_failure_domain_leaves_and_reenters_service(self) -> None:
        self.assertTrue(self.decode("evacuate/a", {}).out)
        self.assertFalse(self.decode("evacuate/a", b"").out)


class JobBodiesTest(unittest.TestCase):
    def test_fields_of_a_phase_become_fields_of_a_step(self) -> None:
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

    def test_invalid_submission_bodies_are_rejected(self) -> None:
        phase = {"count": 1}
        invalid_bodies = (
            b"",
            b"\xff",
            NESTED,
            b"[]",
            b'{"spec":"x"}',
            msgspec.json.encode({"spec": "x", "phases": []}),
            msgspec.json.encode({"spec": "x", "phases": [{"count": 0}]}),
            msgspec.json.encode(
                {"spec": "x", "phases": [{**phase, "cpu": -1}]}
            ),
            msgspec.json.encode(
                {"spec": "x", "phases": [phase, {**phase, "after": [1]}]}
            ),
            msgspec.json.encode({"spec": 1, "phases": [phase]}),
        )
        for body in invalid_bodies:
            with self.assertRaises(job_bodies.InvalidJobError, msg=body):
                job_bodies.decode_job(JOB, body)

    def test_values_out_of_range_are_rejected_by_name(self) -> None:
        beyond_64_bits = 1 << 64
        invalid_jobs = {
            "spec": {"spec": "\u00e4" * 2_001},
            "phases": {"phases": [{"count": 1}] * 1_001},
            "repeats": {"repeats": 100_001},
            "first_ms": {"first_ms": beyond_64_bits},
            "interval_ms": {"interval_ms": -1},
            "count": {"phases": [{"count": 10_000}] * 11},
        }
        for name, fields in invalid_jobs.items():
            self.assert_rejected(name, fields)
        invalid_phases = (
            {"count": 10_001},
            {"cpu": -1},
            {"mem_mb": beyond_64_bits},
            {"gpu": beyond_64_bits},
            {"estimate_ms": 1e308},
            {"estimate_ms": beyond_64_bits},
            {"estimate_ms": -5_000},
            {"estimate_ms": -0.5},
            {"goal_ms": -1},
            {"goal_ms": 1e20},
            {"anti_affinity": -1},
            {"may_miss": -1},
            {"after": [0]},
        )
        for phase in invalid_phases:
            (name,) = phase
            self.assert_rejected(
                f"phase 0: {name}", {"phases": [{"count": 1, **phase}]}
            )

    def assert_rejected(self, place: str, fields: dict[str, object]) -> None:
        body = {"spec": "x", "phases": [{"count": 1}], **fields}
        with (
            self.subTest(place),
            self.assertRaisesRegex(
                job_bodies.InvalidJobError, f"^{place}: expected"
            ),
        ):
            job_bodies.decode_job(JOB, msgspec.json.encode(body))

    def test_largest_valid_values_are_accepted_and_can_be_recorded(
        self,
    ) -> None:
        largest = (1 << 63) - 1
        phase = {
            "count": 10_000,
            "cpu": largest,
            "mem_mb": largest,
            "gpu": largest,
            "estimate_ms": 9e18,
            "goal_ms": 0.25,
            "anti_affinity": largest,
            "may_miss": largest,
        }
        jobs = (
            {"phases": [phase], "repeats": 100_000, "interval_ms": largest},
            {"phases": [{"count": 1}] * 1_000, "first_ms": -largest},
            {"phases": [{"count": 1, "estimate_ms": 1_200.75}]},
            {"phases": [{"count": 1, "estimate_ms": 0.5}], "repeats": 0},
        )
        for fields in jobs:
            body = msgspec.json.encode({"spec": "y" * 4_000, **fields})
            workflow = job_bodies.decode_job(JOB, body)
            self.assertEqual(
                workflow,
                msgspec.msgpack.decode(
                    msgspec.msgpack.encode(workflow), type=spec.Workflow
                ),
            )

    def test_only_16_lowercase_hexadecimal_digits_are_a_job_id(self) -> None:
        self.assertTrue(job_bodies.is_job_id(JOB))
        for text in ("", "5C0E7A21D94B36F8", JOB + "0", "x" * 16):
            self.assertFalse(job_bodies.is_job_id(text))


if __name__ == "__main__":
    unittest.main()
