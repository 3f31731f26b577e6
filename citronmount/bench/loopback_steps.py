"""Steps for scripts on a loopback cluster: publish, wait, submit, drain."""

from collections.abc import Callable
import json
import time
import typing

from citronmount.bench import loopback_cluster
from citronmount.core import codes
from citronmount.core import states

__all__ = [
    "StepFailedError",
    "call",
    "drain_all",
    "publish",
    "require",
    "submit",
    "wait_for_result",
    "wait_until",
    "wait_until_ready",
]

TIMEOUT_S = 40.0
POLL_PERIOD_S = 0.2
WAIT_MS = 30_000

_OK = 200
_ACCEPTED = 202
_CODES_PER_FAMILY = 1_000
_RETRYABLE_FAMILY = 3


class StepFailedError(Exception):
    """A step had an unexpected result or timed out."""


def require(condition: bool, message: str) -> None:
    """Raises an error unless a condition holds.

    Args:
        condition: The condition.
        message: Message of the error.

    Raises:
        StepFailedError: The condition does not hold.
    """
    if not condition:
        raise StepFailedError(message)


def call(
    vm: loopback_cluster.Vm, method: str, path: str, body: bytes | None = None
) -> loopback_cluster.Answer:
    """Sends an HTTP call to the daemon of a VM.

    Args:
        vm: The VM.
        method: HTTP method.
        path: Path and query of the URL.
        body: Request body.
    """
    return loopback_cluster.call(vm.caller_address, method, path, body)


def wait_until(
    send_call: Callable[[], loopback_cluster.Answer],
    is_expected: Callable[[loopback_cluster.Answer], bool],
) -> loopback_cluster.Answer:
    """Repeats a call until its answer is the expected one.

    Args:
        send_call: Sends the call and returns its answer.
        is_expected: Returns whether an answer ends the wait.

    Returns:
        The first expected answer.

    Raises:
        StepFailedError: No expected answer came within `TIMEOUT_S`.
    """
    deadline_s = time.monotonic() + TIMEOUT_S
    while True:
        answer = send_call()
        if is_expected(answer):
            return answer
        require(
            time.monotonic() < deadline_s,
            f"timed out; last answer: {answer.body}",
        )
        time.sleep(POLL_PERIOD_S)


def publish(cluster: loopback_cluster.Cluster, data: bytes) -> int:
    """Publishes a configuration sheet as the first version.

    Args:
        cluster: The cluster, whose first VM is called.
        data: The sheet as CSV.

    Returns:
        The version that is in force.
    """
    path = "/v1/configuration?base_version=0&author=trial"
    answer = wait_until(
        lambda: call(cluster.vms[0], "PUT", path, data),
        lambda reply: (
            reply.body["code"] // _CODES_PER_FAMILY != _RETRYABLE_FAMILY
        ),
    )
    accepted = codes.ResultCode.CONFIGURATION_ACCEPTED
    require(
        answer.body["code"] == accepted, f"sheet not accepted: {answer.body}"
    )
    return answer.body["version"]


def wait_until_ready(cluster: loopback_cluster.Cluster) -> None:
    """Waits until every VM is ready and knows an owner of each domain.

    Args:
        cluster: The cluster.
    """
    domains = {vm.failure_domain for vm in cluster.vms}
    for vm in cluster.vms:
        wait_until(
            lambda vm=vm: call(vm, "GET", "/v1/ready"),
            lambda answer: answer.status == _OK,
        )
        wait_until(
            lambda vm=vm: call(vm, "GET", "/v1/membership"),
            lambda answer: _owned_domains(answer.body) == domains,
        )


def submit(vm: loopback_cluster.Vm, body: dict[str, typing.Any]) -> str:
    """Submits a job.

    Args:
        vm: The VM to call.
        body: The job as a body of the HTTP API.

    Returns:
        Id of the job.
    """
    data = json.dumps(body).encode("utf-8")
    answer = call(vm, "POST", "/v1/jobs", data)
    require(answer.status == _ACCEPTED, f"job not accepted: {answer.body}")
    return answer.body["job"]


def wait_for_result(vm: loopback_cluster.Vm, job: str) -> dict[str, typing.Any]:
    """Waits until a job has ended.

    Args:
        vm: The VM to call.
        job: Id of the job.

    Returns:
        The status of the job from the HTTP API.

    Raises:
        StepFailedError: The job did not end within `TIMEOUT_S`.
    """
    path = f"/v1/jobs/{job}?wait_ms={WAIT_MS}"
    try:
        return wait_until(
            lambda: call(vm, "GET", path), lambda answer: _is_final(answer.body)
        ).body
    except StepFailedError as error:
        raise StepFailedError(f"{job}: {error}") from error


def drain_all(
    cluster: loopback_cluster.Cluster, stopped: tuple[str, ...] = ()
) -> None:
    """Stops the daemons by SIGTERM and requires exit status 0 from each.

    Args:
        cluster: The cluster.
        stopped: Names of VMs whose daemons are already stopped.
    """
    running = [vm for vm in cluster.vms if vm.name not in stopped]
    for vm in running:
        vm.process.terminate()
    exit_statuses = {
        vm.name: vm.process.wait(loopback_cluster.STOP_TIMEOUT_S)
        for vm in running
    }
    require(not any(exit_statuses.values()), f"exit statuses: {exit_statuses}")


def _owned_domains(body: dict[str, typing.Any]) -> set[str]:
    return {m["failure_domain"] for m in body["members"] if m["owner"]}


def _is_final(body: dict[str, typing.Any]) -> bool:
    return "state" in body and states.JobState(body["state"]).final
