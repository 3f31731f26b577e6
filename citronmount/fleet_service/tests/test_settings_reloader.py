import pathlib
import tempfile
import unittest

import msgspec

from citronmount.core import ids
from citronmount.fleet import fleet_configuration
from citronmount.fleet_service import settings_reloader
from citronmount.fleet_service import vm_settings

SETTINGS = vm_settings.VmSettings(
    vm=ids.VmId("vm"),
    failure_domain=ids.FailureDomainId("fd"),
    caller_address="127.0.0.1:1",
    ready_address="127.0.0.1:2",
    metrics_address="127.0.0.1:3",
    log_address="127.0.0.1:4",
    advice_address="",
    processor_share=1.0,
    stop_grace_s=6.0,
    bounds=fleet_configuration.Bounds(),
)


class SettingsReloaderTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "boot.toml")
        self.path.write_text("first")
        self.new_settings = SETTINGS
        self.addresses: list[str] = []
        self.reads = 0
        self.reloader = settings_reloader.SettingsReloader(
            path=str(self.path),
            load=self.load,
            settings=SETTINGS,
            on_address=self.addresses.append,
        )

    def load(self, path: str) -> vm_settings.VmSettings:
        self.reads += 1
        if self.path.read_text() == "unexpected":
            raise RecursionError("nested")
        if self.path.read_text() == "bad":
            raise vm_settings.SettingsError("bad")
        return self.new_settings

    def test_changed_file_is_reloaded_without_a_signal(self) -> None:
        self.reloader.check()
        self.assertEqual(0, self.reads)
        self.path.write_text("second text")
        self.new_settings = msgspec.structs.replace(
            SETTINGS, log_address="127.0.0.1:9"
        )
        self.reloader.check()
        self.reloader.check()
        self.assertEqual(1, self.reads)
        self.assertEqual(["127.0.0.1:9"], self.addresses)

    def test_invalid_file_leaves_the_settings_unchanged(self) -> None:
        for text in ("bad", "unexpected"):
            self.path.write_text(text)
            self.reloader.check()
        self.assertEqual(2, self.reads)
        self.assertEqual([], self.addresses)


if __name__ == "__main__":
    unittest.main()
