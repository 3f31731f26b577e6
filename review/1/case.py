"""A public job without accelerators must not stop the work of all others."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import deployment as deployment_lib  # noqa: E402
from standins import runners as runners_lib  # noqa: E402

RUN_MS = 1_000
PUBLIC_RUN_MS = 3_000
JOBS = 20
GAP_S = 0.5
FINISH_S = 14.0
URGENT = "urgent"
FINAL = ("complete",)


async def main() -> int:
    """Runs the case; returns 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    urgent_route = {
        "name": "r-urgent",
        "path_prefix": f"/{URGENT}/",
        "priority": 0,
        "public": trouble,
    }
    deployment = deployment_lib.Deployment(
        record_path=HERE / "record.txt",
        vm_count=3,
        places=[runners_lib.Place(service=deployment_lib.SERVICE)] * 4,
        extra_routes=[urgent_route],
    )
    async with deployment:
        vm = deployment.vms[0]
        first, accepted = await deployment.submit(vm, {"run_ms": RUN_MS})
        state = await deployment.wait_for_state(vm, first, FINAL, 15.0)
        if not accepted or state != "complete":
            return deployment_lib.COULD_NOT_RUN
        public_job, accepted = await deployment.submit(
            vm,
            {"run_ms": PUBLIC_RUN_MS},
            service=URGENT,
            gpu=0,
            estimate_ms=PUBLIC_RUN_MS,
        )
        if not accepted:
            return deployment_lib.COULD_NOT_RUN
        jobs = []
        for _ in range(JOBS):
            await asyncio.sleep(GAP_S)
            job, accepted = await deployment.submit(
                vm, {"run_ms": RUN_MS}, estimate_ms=RUN_MS
            )
            if accepted:
                jobs.append(job)
        await asyncio.sleep(FINISH_S)
        states = [
            await deployment.wait_for_state(vm, job, FINAL, 0.1) for job in jobs
        ]
        public_state = await deployment.wait_for_state(
            vm, public_job, FINAL, 0.1, service=URGENT
        )
        open_jobs = [s for s in states if s != "complete"]
        started = {each["task"].split(".")[0] for each in deployment.starts}
        never_started = [job for job in jobs if job not in started]
        deployment.record(
            "verdict",
            accepted=len(jobs),
            not_complete=len(open_jobs),
            never_started=len(never_started),
            public_job=public_state,
            running=deployment.pool.running(),
        )
        if not jobs:
            return deployment_lib.COULD_NOT_RUN
        return int(bool(never_started) and not deployment.pool.running())


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(main))
