import subprocess
import sys
import unittest

from citronmount.platform.tests import loopback_ports

LOCK_IN_ANOTHER_PROCESS = """
import sys
from citronmount.platform.tests import loopback_ports
print(loopback_ports.lock_port(int(sys.argv[1])))
"""


class LoopbackPortsTest(unittest.TestCase):
    def test_port_of_a_stopped_vm_is_not_given_to_another_soak(self) -> None:
        number = loopback_ports.free_port()
        result = subprocess.run(
            [sys.executable, "-c", LOCK_IN_ANOTHER_PROCESS, str(number)],
            capture_output=True,
            check=True,
            text=True,
        )
        self.assertEqual("False", result.stdout.strip())
