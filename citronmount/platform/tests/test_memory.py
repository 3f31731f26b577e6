import subprocess
import sys
import unittest

_LOADED = """
import sys
import citronmount.platform.__main__
unwanted = ("_ssl", "_hashlib", "numpy", "matplotlib", "zmq")
print(*(name for name in unwanted if sys.modules.get(name)))
"""


class MemoryTest(unittest.TestCase):
    def test_process_of_a_vm_loads_no_large_library_that_it_does_not_use(
        self,
    ) -> None:
        done = subprocess.run(
            [sys.executable, "-c", _LOADED],
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual("", done.stdout.strip())
