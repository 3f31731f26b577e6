import subprocess
import sys
import unittest

_LOADED = """
import sys
import citronmount.platform.__main__
print(*(name for name, module in sys.modules.items() if module))
"""
_LARGE_LIBRARIES = ("_ssl", "_hashlib", "numpy", "matplotlib", "zmq")
_STAND_ALONE_ONLY = ("agent", "membership", "peers", "leases", "state")


class MemoryTest(unittest.TestCase):
    """What the process of a VM loads; every VM pays for it."""

    def loaded(self) -> frozenset[str]:
        done = subprocess.run(
            [sys.executable, "-c", _LOADED],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        return frozenset(done.stdout.split())

    def test_no_large_library_that_it_does_not_use(self) -> None:
        self.assertFalse(self.loaded() & set(_LARGE_LIBRARIES))

    def test_nothing_that_the_site_makes_needless(self) -> None:
        """Claims, copies at peers, the VM list and leases of domains."""
        names = {f"citronmount.{name}" for name in _STAND_ALONE_ONLY}
        self.assertFalse(self.loaded() & names)
