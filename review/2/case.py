"""A former owner must be able to take the pool over again."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import deployment as deployment_lib  # noqa: E402
from standins import runners as runners_lib  # noqa: E402

RUN_MS = 1_000
KEEP_S = 20
ROUNDS = 4
REASSIGNMENTS = 4
TAKEOVER_S = 1.2
FINISH_S = 14.0
IDLE_S = 3.0
FINAL = ("complete",)


async def main() -> int:
    """Runs the case; returns 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = deployment_lib.Deployment(
        record_path=HERE / "record.txt",
        vm_count=2,
        places=[runners_lib.Place(service=deployment_lib.SERVICE)] * 4,
        keep_s=KEEP_S,
    )

    async with deployment:
        if not await starts(deployment):
            raise RuntimeError("the deployment doesn't work undisturbed")
        for _ in range(ROUNDS):
            if trouble:
                await change_owner(deployment)
            if not await starts(deployment):
                running = deployment.pool.running()
                deployment.record("verdict", broken=True, running=running)
                return int(not running)
            await asyncio.sleep(KEEP_S)
        deployment.record("verdict", broken=False)
        return 0


async def change_owner(deployment: deployment_lib.Deployment) -> None:
    """Reassigns all partitions until another owner has raised the epoch."""
    epoch = deployment.store.newest_epoch()
    for _ in range(REASSIGNMENTS):
        deployment.store.rebalance()
        deployment.record("reassigned")
        await asyncio.sleep(TAKEOVER_S)
        if deployment.store.newest_epoch() > epoch:
            return


async def starts(deployment: deployment_lib.Deployment) -> bool:
    """Returns whether an accepted job is begun within the rule's times."""
    vm = deployment.vms[0]
    job, accepted = await deployment.submit(
        vm, {"run_ms": RUN_MS}, estimate_ms=RUN_MS
    )
    if not accepted:
        raise RuntimeError("the job wasn't accepted")
    await deployment.wait_for_state(vm, job, FINAL, FINISH_S + IDLE_S)
    return any(each["task"].startswith(job) for each in deployment.starts)


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(main))
