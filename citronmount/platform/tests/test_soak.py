import subprocess
import sys
import unittest

from citronmount.platform.tests import soak

SEED = 7
DURATION_S = 8
TIMEOUT_S = 150


def start_soak(seed: int) -> subprocess.Popen:
    command = [
        sys.executable,
        "-m",
        "citronmount.platform.tests.soak",
        f"--seed={seed}",
        f"--seconds={DURATION_S}",
    ]
    return subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


class SoakTest(unittest.TestCase):
    def test_short_runs_hold_every_promise(self) -> None:
        runs = {seed: start_soak(seed) for seed in (SEED, *soak.REGRESSIONS)}
        for seed, process in runs.items():
            with self.subTest(seed=seed), process:
                output, _ = process.communicate(timeout=TIMEOUT_S)
                self.assertEqual(0, process.returncode, output)
