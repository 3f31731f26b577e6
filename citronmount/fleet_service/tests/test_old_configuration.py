import itertools

import msgspec

from citronmount.core import ids
from citronmount.fleet_service import ports
from citronmount.fleet_service.tests import pool_fixture
from citronmount.standins import pool_log

SLOW_VM = ids.VmId("vm0")
LINK_BYTES_PER_S = 600_000
VERSION_BYTES = 300_000
VERSION_PERIOD_S = 1.2
# Calls sent later than this after a version are handled by it.
CONFIGURATION_BOUND_S = 3.0


class OldConfigurationTest(pool_fixture.PoolTestCase):
    """A VM keeps an old configuration while it reads what it has missed."""

    vm_count = 1

    def setUp(self) -> None:
        self.versions = itertools.count(1)
        super().setUp()
        self.log.link_bytes_per_s[SLOW_VM] = LINK_BYTES_PER_S

    def publish_configuration(self, *more: object, version: int = 1) -> None:
        super().publish_configuration(*more, version=version)
        self.log.topics[ports.Topic.CONFIGURATION].clear()
        self.publish_version()

    def publish_version(self) -> int:
        version = next(self.versions)
        content = f"{version} ".encode("ascii").ljust(VERSION_BYTES, b".")
        self.log.append_records(
            ports.Topic.CONFIGURATION, [("config", content)]
        )
        return version

    def decode(
        self, topic: ports.Topic, record: ports.LogRecord
    ) -> ports.LogEvent | None:
        if topic is not ports.Topic.CONFIGURATION or record.key != "config":
            return super().decode(topic, record)
        configuration = msgspec.structs.replace(
            self.configuration, version=int(record.value.split()[0])
        )
        return ports.ConfigurationChanged(configuration=configuration)

    def version_in_force(self) -> int:
        return self.pool_vms[0].job_service.configuration.version

    def publish_versions(self, count: int) -> int:
        for _ in range(count):
            version = self.publish_version()
            self.run_for(VERSION_PERIOD_S)
        return version

    def test_old_configuration_stays_in_force_after_an_outage(self) -> None:
        self.log.faults[SLOW_VM] = pool_log.LogFault.REFUSES
        newest = self.publish_versions(count=8)
        self.log.faults.clear()
        self.run_for(CONFIGURATION_BOUND_S)
        self.assertEqual(newest, self.version_in_force())

    def test_domains_switched_during_an_outage_are_noticed_after_it(
        self,
    ) -> None:
        self.log.append_records(
            ports.Topic.CONFIGURATION, [("out/fd-rack0", b"{}")]
        )
        self.run_for(1.0)
        self.log.faults[SLOW_VM] = pool_log.LogFault.REFUSES
        self.log.append_records(
            ports.Topic.CONFIGURATION,
            [("out/fd-rack0", None), ("out/fd-rack1", b"{}")],
        )
        self.publish_versions(count=3)
        self.log.faults.clear()
        self.run_for(CONFIGURATION_BOUND_S)
        self.submit("j", pool_fixture.make_step(tasks=20))
        self.run_for(1.0)
        places = {place for _, _, place in self.starts_of("j")}
        self.assertEqual({"w00", "w01"}, places)

    def test_missed_version_is_read_without_a_snapshot(self) -> None:
        snapshots: list[ports.Topic] = []
        read_snapshot = self.log.snapshot

        def count_and_read(topic: ports.Topic) -> ports.Snapshot:
            snapshots.append(topic)
            return read_snapshot(topic)

        self.log.snapshot = count_and_read
        self.log.faults[SLOW_VM] = pool_log.LogFault.REFUSES
        newest = self.publish_versions(count=1)
        self.log.faults.clear()
        self.run_for(CONFIGURATION_BOUND_S)
        self.assertEqual(newest, self.version_in_force())
        self.assertNotIn(ports.Topic.CONFIGURATION, snapshots)
