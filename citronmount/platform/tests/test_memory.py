import subprocess
import sys
import unittest

_PRINT_LOADED_MODULES = """
import sys
import citronmount.platform.__main__
print(*(name for name, module in sys.modules.items() if module))
"""
_LARGE_UNUSED_LIBRARIES = ("_ssl", "_hashlib", "numpy", "matplotlib", "zmq")
_STANDALONE_PACKAGES = ("agent", "membership", "peers", "leases", "state")


class MemoryTest(unittest.TestCase):
    """Modules loaded by a VM's process, which use memory on every VM."""

    def loaded_modules(self) -> frozenset[str]:
        completed = subprocess.run(
            [sys.executable, "-c", _PRINT_LOADED_MODULES],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        return frozenset(completed.stdout.split())

    def test_vm_process_loads_no_large_unused_library(self) -> None:
        self.assertFalse(self.loaded_modules() & set(_LARGE_UNUSED_LIBRARIES))

    def test_vm_process_loads_no_package_of_the_standalone_mode(self) -> None:
        """The platform provides what these packages do.

        They implement claims, replicas at peers, the VM list and the leases of
        failure domains.
        """
        packages = {f"citronmount.{name}" for name in _STANDALONE_PACKAGES}
        self.assertFalse(self.loaded_modules() & packages)
