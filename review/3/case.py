"""A job whose submission is stored twice must not run again after its end."""

import asyncio
import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins import deployment as deployment_lib  # noqa: E402
from standins import runners as runners_lib  # noqa: E402

RUN_MS = 500
STATUS_S = int(os.environ.get("STATUS_S", "5"))
# The program keeps final states for this much longer.
MARGIN_S = 62.0
LATE_S = 5.0
GRACE_S = 6.0
ROLL_GAP_S = 2.0
WATCH_S = 5.0


async def main() -> int:
    """Runs the case; returns 1 if the rule was broken, 0 if it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = deployment_lib.Deployment(
        record_path=HERE / "record.txt",
        vm_count=3,
        places=[runners_lib.Place(service=deployment_lib.SERVICE)] * 4,
        status_s=STATUS_S,
    )
    late: list[str] = []

    def lose_first_submission(
        query: dict[str, str], contents: list[bytes]
    ) -> float | None:
        """Lets the first append of a client's call be done late."""
        if late or "producer" in query:
            return None
        late.append("append")
        deployment.record("append_late", delay_s=LATE_S)
        return LATE_S

    async with deployment:
        first, accepted = await deployment.submit(
            deployment.vms[0], {"run_ms": RUN_MS}
        )
        state = await deployment.wait_for_state(
            deployment.vms[0], first, ("complete",), 15.0
        )
        if not accepted or state != "complete":
            return deployment_lib.COULD_NOT_RUN
        if trouble:
            deployment.store.before_append = lose_first_submission
        job, accepted = await deployment.submit(
            deployment.vms[0], {"run_ms": RUN_MS}, estimate_ms=RUN_MS
        )
        state = await deployment.wait_for_state(
            deployment.vms[0], job, ("complete",), 10.0
        )
        if not accepted or state != "complete":
            return deployment_lib.COULD_NOT_RUN
        await asyncio.sleep(STATUS_S + MARGIN_S)
        await roll(deployment)
        await asyncio.sleep(WATCH_S)
        for vm in deployment.vms:
            await deployment.ask(vm, "GET", job)
        return verdict(deployment, job)


async def roll(deployment: deployment_lib.Deployment) -> None:
    """Stops and starts the machines in turn, as planned work."""
    for vm in deployment.vms:
        deployment.record("sigterm", vm=vm.name)
        vm.send(signal.SIGTERM)
        await vm.ended(GRACE_S)
        deployment.record("started", vm=vm.name)
        await vm.start()
        await deployment.until(vm.is_ready, 5.0)
        await asyncio.sleep(ROLL_GAP_S)


def verdict(deployment: deployment_lib.Deployment, job: str) -> int:
    """Returns 1 if a task was started after a run of it had ended done.

    Only ends count that were taken note of, as the rule says.
    """
    noted = {
        (each["task"], each["run"])
        for each in deployment.noted
        if each["how"] == "done"
    }
    done = {
        each["task"]: each["t"]
        for each in reversed(deployment.ends)
        if (each["task"], each["run"]) in noted
    }
    again = [
        each
        for each in deployment.starts
        if each["task"].startswith(job)
        and each["t"] > done.get(each["task"], float("inf"))
    ]
    deployment.record("verdict", started_again=again)
    return int(bool(again))


if __name__ == "__main__":
    sys.exit(deployment_lib.run_case(main))
