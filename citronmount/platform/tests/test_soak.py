import subprocess
import sys
import unittest

from citronmount.platform.tests import soak

SEED = 7
DURATION_S = 8
TIMEOUT_S = 150
QUOTA_SEED = 5
WORKER_SEED = 11
CONFIGURATION_SEED = 701
CONFIGURATION_DURATION_S = 15


def start_soak(
    seed: int, duration_s: int = DURATION_S, *options: str
) -> subprocess.Popen:
    command = [
        sys.executable,
        "-m",
        "citronmount.platform.tests.soak",
        f"--seed={seed}",
        f"--seconds={duration_s}",
        *options,
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

    def test_account_stays_within_its_quota_under_faults(self) -> None:
        with start_soak(QUOTA_SEED, DURATION_S, "--quotas") as process:
            output, _ = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(0, process.returncode, output)

    def test_restarts_of_workers_break_no_promise(self) -> None:
        with start_soak(WORKER_SEED, 12, "--worker-faults") as process:
            output, _ = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(0, process.returncode, output)

    def test_old_configuration_is_not_used_on_slow_links(self) -> None:
        with start_soak(
            CONFIGURATION_SEED,
            CONFIGURATION_DURATION_S,
            "--large-configuration",
        ) as process:
            output, _ = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual(0, process.returncode, output)
