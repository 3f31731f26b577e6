"""A job must start on the idle runners of its service, whatever others do."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import deployment as deployment_lib  # noqa: E402
from standins import runners as runners_lib  # noqa: E402

RUN_MS = 1_000
FINISH_S = 14.0
IDLE_S = 3.0
TRAFFIC_S = 10.0
OTHER = "labels"
OWN = deployment_lib.SERVICE
GPUS = 8


async def main() -> int:
    """Runs the case; returns 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = deployment_lib.Deployment(
        record_path=HERE / "record.txt",
        vm_count=3,
        places=[
            runners_lib.Place(service=OWN, rack="r1-1"),
            *[runners_lib.Place(service=OWN, rack="r1-2")] * 3,
            *[runners_lib.Place(service=OTHER, rack="r1-3")] * 4,
        ],
    )
    async with deployment:
        vm = deployment.vms[0]
        tasks = 4 if trouble else 1
        lasting = {"lasting": True}
        _, accepted = await deployment.submit(
            vm,
            lasting,
            service=OTHER,
            count=tasks,
            gpu=GPUS,
            long_running=True,
        )
        _, other_accepted = await deployment.submit(
            vm, lasting, gpu=GPUS, long_running=True, affinity_to="r1-1"
        )
        if not (accepted and other_accepted):
            return deployment_lib.COULD_NOT_RUN

        async def all_run() -> bool:
            return len(deployment.pool.running()) == tasks + 1

        if not await deployment.until(all_run, 15.0):
            return deployment_lib.COULD_NOT_RUN
        await asyncio.sleep(2.0)
        job, accepted = await deployment.submit(
            vm,
            {"run_ms": RUN_MS},
            gpu=GPUS,
            affinity_to="r1-1",
            estimate_ms=RUN_MS,
        )
        if not accepted:
            return deployment_lib.COULD_NOT_RUN
        accepted_s = deployment.seconds()
        final = ("complete",)
        await deployment.wait_for_state(vm, job, final, TRAFFIC_S + FINISH_S)
        state = await deployment.wait_for_state(vm, job, final, 1.0)
        starts = [
            each["t"]
            for each in deployment.starts
            if each["task"].startswith(job)
        ]
        idle_s = min(starts, default=deployment.seconds()) - accepted_s
        deployment.record("verdict", state=state, idle_s=round(idle_s, 1))
        return int(state != "complete" and not starts and idle_s > IDLE_S)


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(main))
