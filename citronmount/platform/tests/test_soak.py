import subprocess
import sys
import unittest

from citronmount.platform.tests import soak

SEED = 7
TIME_S = 8
LIMIT_S = 150


def start(seed: int) -> subprocess.Popen:
    command = [
        sys.executable,
        "-m",
        "citronmount.platform.tests.soak",
        f"--seed={seed}",
        f"--seconds={TIME_S}",
    ]
    return subprocess.Popen(
        command,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


class SoakTest(unittest.TestCase):
    def test_short_runs_hold_every_promise(self) -> None:
        runs = {seed: start(seed) for seed in (SEED, *soak.REGRESSIONS)}
        for seed, process in runs.items():
            with self.subTest(seed=seed), process:
                said, _ = process.communicate(timeout=LIMIT_S)
                self.assertEqual(0, process.returncode, said)
