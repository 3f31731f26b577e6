import subprocess
import sys
import unittest

SEED = 7
TIME_S = 8


class SoakTest(unittest.TestCase):
    def test_short_seeded_run_holds_every_promise(self) -> None:
        done = subprocess.run(
            [
                sys.executable,
                "-m",
                "citronmount.platform.tests.soak",
                f"--seed={SEED}",
                f"--seconds={TIME_S}",
            ],
            capture_output=True,
            text=True,
            timeout=150,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stdout + done.stderr)
