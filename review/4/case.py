"""A gang that can never be done must be shown as failed, not be forgotten."""

import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import deployment as deployment_lib  # noqa: E402
from standins import runners as runners_lib  # noqa: E402

MAX_ATTEMPTS = 4
RUN_MS = 800
# The site lets at most a share of 0.05 of the jobs be ones that can't be done.
SOUND_JOBS = 19
FINISH_S = 14.0
IDLE_S = 3.0


async def main() -> int:
    """Runs the case; returns 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = deployment_lib.Deployment(
        record_path=HERE / "record.txt",
        vm_count=3,
        places=[
            runners_lib.Place(service=deployment_lib.SERVICE, kind=kind)
            for kind in "aaaabbbb"
        ],
        route={"max_attempts": MAX_ATTEMPTS},
    )
    async with deployment:
        vm = deployment.vms[0]
        first, accepted = await deployment.submit(vm, {"run_ms": RUN_MS})
        state = await deployment.wait_for_state(vm, first, ("complete",), 20.0)
        if not accepted or state != "complete":
            return 2
        for _ in range(SOUND_JOBS - 1):
            await deployment.submit(vm, {"run_ms": RUN_MS})
        spec = {"run_ms": RUN_MS, "gang": 2, "fails": trouble}
        job, accepted = await deployment.submit(
            vm,
            spec,
            count=2,
            gpu=8,
            gang=True,
            constraints="b",
            estimate_ms=RUN_MS,
        )
        if not accepted:
            return 2
        final = ("failed", "complete")
        await deployment.wait_for_state(vm, job, final, 10.0)
        # The traffic has ended; nothing else runs.
        state = await deployment.wait_for_state(vm, job, final, FINISH_S)
        ends = [e for e in deployment.ends if e["task"].startswith(job)]
        runs = {each["run"] for each in ends}
        last_s = max((each["t"] for each in ends), default=0.0)
        idle_s = deployment.seconds() - last_s
        deployment.record(
            "verdict", state=state, runs=len(runs), idle_s=round(idle_s, 1)
        )
        if not runs:
            return 2
        turn_left = len(runs) < MAX_ATTEMPTS
        running = deployment.pool.running()
        stuck = state not in final and turn_left and not running
        return int(stuck and idle_s > IDLE_S)


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(main))
