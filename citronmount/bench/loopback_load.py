"""Load generator: sends short requests and jobs and checks the answers."""

import itertools
import json
import time
import typing

import hyperlink
import msgspec
import treq
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import task
from twisted.web import client as web_client

from citronmount.bench import loopback_cluster
from citronmount.clients import byte_counting
from citronmount.clients import http_agent
from citronmount.clients import http_client
from citronmount.core import codes
from citronmount.core import states
from citronmount.telemetry import metrics_registry

__all__ = ["Load", "Tally"]

REQUEST_TIMEOUT_MS = 5_000
SERVICE_TIMES_MS = (2, 5, 10, 20)
JOB_RUN_TIMES_MS = (200, 500, 1_000)
JOB_TIMEOUT_MS = 30_000
BALANCER_PERIOD_S = 0.25
RETRY_DELAY_S = 0.05
JOB_PERIOD_S = 0.25

_MS_PER_S = 1_000
_OK = 200


class Tally(msgspec.Struct, kw_only=True):
    """Outcomes of the calls of a load.

    Attributes:
        answered: Short requests with a correct and complete answer.
        refused: Short requests whose result proves that they did not run, and
            jobs that were not accepted.
        unknown: Short requests whose result leaves the outcome unknown.
        wrong: Answers that are incomplete or belong to another request.
        cut: Calls that failed after they may have been sent, by VM.
        jobs_accepted: Number of accepted jobs.
        jobs_by_state: Number of accepted jobs by final state.
        keys: Idempotency keys of requests that must run at most once.
    """

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    wrong: int = 0
    cut: dict[str, int] = msgspec.field(default_factory=dict)
    jobs_accepted: int = 0
    jobs_by_state: dict[str, int] = msgspec.field(default_factory=dict)
    keys: list[str] = msgspec.field(default_factory=list)


class Load:
    """Closed-loop callers behind a load balancer that polls readiness.

    Attributes:
        tally: Outcomes of the calls.
        metrics: Durations of the calls.
        ready: VMs to which the balancer sends calls.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorTime,
        vms: tuple[loopback_cluster.Vm, ...],
        accounts: tuple[str, ...],
    ) -> None:
        """Initializes a load without starting it.

        Args:
            reactor: Opens connections and times delays.
            vms: The VMs to call.
            accounts: Client accounts to call for, in turn.
        """
        self.tally = Tally()
        self.metrics = metrics_registry.MetricsRegistry()
        self.ready = list(vms)
        self._vms = vms
        self._accounts = accounts
        self._reactor = reactor
        self._numbers = itertools.count()
        self._stopped = False
        pool = web_client.HTTPConnectionPool(reactor)
        agent = http_agent.make_http_agent(
            reactor, pool, byte_counting.Traffic()
        )
        self._pool = pool
        self._http = treq_client.HTTPClient(agent)

    def start(self, callers: int) -> list[defer.Deferred[None]]:
        """Starts the balancer, the callers and the submission of jobs.

        Args:
            callers: Number of callers, each with one open request.

        Returns:
            One Deferred for each of them, which fires when it has stopped.
        """
        parts = (
            self._update_ready_vms(),
            self._submit_jobs(),
            *(self._send_requests() for _ in range(callers)),
        )
        return [defer.ensureDeferred(part) for part in parts]

    def stop(self) -> None:
        """Makes the load end after its open calls and submitted jobs."""
        self._stopped = True

    def close(self) -> defer.Deferred[None]:
        """Closes idle connections.

        Returns:
            A Deferred that fires when they are closed.
        """
        return self._pool.closeCachedConnections()

    async def _update_ready_vms(self) -> None:
        while not self._stopped:
            self.ready = [
                vm for vm in self._vms if await self._is_ready(vm)
            ] or self.ready
            await self._sleep(BALANCER_PERIOD_S)

    async def _is_ready(self, vm: loopback_cluster.Vm) -> bool:
        try:
            status, _ = await self._call(vm, "GET", "/v1/ready")
        except Exception:
            return False
        return status == _OK

    async def _send_requests(self) -> None:
        while not self._stopped:
            number = next(self._numbers)
            await self._send_request(number, self._pick(self.ready, number))

    async def _send_request(self, number: int, vm: loopback_cluster.Vm) -> None:
        payload = json.dumps(
            {
                "service_ms": self._pick(SERVICE_TIMES_MS, number),
                "number": number,
            }
        )
        at_most_once = number % 2 == 0
        key = f"key-{number}" if at_most_once else ""
        if at_most_once:
            self.tally.keys.append(key)
        body = {
            "account": self._pick(self._accounts, number),
            "request": f"q{number}",
            "payload": payload,
            "timeout_ms": REQUEST_TIMEOUT_MS,
            "idempotent": not at_most_once,
            "idempotency_key": key,
        }
        start_s = time.monotonic()
        answer = await self._call_or_none(vm, "POST", "/v1/requests", body)
        if answer is None:
            await self._sleep(RETRY_DELAY_S)
            return
        duration_ms = (time.monotonic() - start_s) * _MS_PER_S
        self.metrics.record_duration(
            "request", "once" if at_most_once else "any", duration_ms
        )
        self._check_answer(answer, body)

    def _check_answer(
        self, answer: dict[str, typing.Any], body: dict[str, typing.Any]
    ) -> None:
        code = codes.ResultCode(answer["code"])
        if code is codes.ResultCode.DONE:
            same_request = answer["request"] == body["request"]
            complete = answer["payload"].endswith(body["payload"])
            self.tally.answered += same_request and complete
            self.tally.wrong += not (same_request and complete)
        elif codes.info(code).proves_not_run:
            self.tally.refused += 1
        else:
            self.tally.unknown += 1

    async def _submit_jobs(self) -> None:
        job_runs = []
        while not self._stopped:
            number = next(self._numbers)
            run = self._run_job(number, self._pick(self.ready, number))
            job_runs.append(defer.ensureDeferred(run))
            await self._sleep(JOB_PERIOD_S)
        await defer.gatherResults(job_runs)

    async def _run_job(self, number: int, vm: loopback_cluster.Vm) -> None:
        run_ms = self._pick(JOB_RUN_TIMES_MS, number)
        body = {
            "account": self._pick(self._accounts, number),
            "tasks": 1 + number % 2,
            "per_task": {"accelerators": 1 + number % 4},
            "command": json.dumps({"run_ms": run_ms}),
            "run_time_s": run_ms / _MS_PER_S,
        }
        start_s = time.monotonic()
        answer = await self._call_or_none(vm, "POST", "/v1/jobs", body)
        if answer is None or "job" not in answer:
            self.tally.refused += answer is not None
            return
        self.tally.jobs_accepted += 1
        state = await self._final_state(answer["job"], number)
        counts = self.tally.jobs_by_state
        counts[state] = counts.get(state, 0) + 1
        duration_ms = (time.monotonic() - start_s) * _MS_PER_S
        self.metrics.record_duration("job", "beyond_run", duration_ms - run_ms)

    async def _final_state(self, job: str, number: int) -> str:
        deadline_s = time.monotonic() + 2 * JOB_TIMEOUT_MS / _MS_PER_S
        path = f"/v1/jobs/{job}?wait_ms=1000"
        last = "no answer"
        for attempt in itertools.count(number):
            vm = self._pick(self.ready, attempt)
            answer = await self._call_or_none(vm, "GET", path) or {}
            if "state" in answer and states.JobState(answer["state"]).final:
                return answer["state"]
            last = answer.get("name") or answer.get("state") or last
            if time.monotonic() > deadline_s:
                return f"not final: {last}"
            await self._sleep(RETRY_DELAY_S)
        raise AssertionError("unreachable")

    async def _call_or_none(
        self,
        vm: loopback_cluster.Vm,
        method: str,
        path: str,
        body: dict[str, typing.Any] | None = None,
    ) -> dict[str, typing.Any] | None:
        """Calls a VM; returns the JSON body, or None without an answer.

        A call that fails after it may have been sent counts as cut.
        """
        try:
            _, answer = await self._call(vm, method, path, body)
        except http_client.NOT_SENT:
            return None
        except Exception:
            self.tally.cut[vm.name] = self.tally.cut.get(vm.name, 0) + 1
            return None
        return answer

    async def _call(
        self,
        vm: loopback_cluster.Vm,
        method: str,
        path: str,
        body: dict[str, typing.Any] | None = None,
    ) -> tuple[int, dict[str, typing.Any]]:
        url = hyperlink.EncodedURL.from_text(
            f"http://{vm.caller_address}{path}"
        )
        data = None if body is None else json.dumps(body).encode("utf-8")
        response = await self._http.request(
            method, url, data=data, unbuffered=True
        )
        return response.code, json.loads(await treq.content(response))

    def _pick(self, choices: typing.Sequence, number: int) -> typing.Any:
        return choices[number % len(choices)]

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        return task.deferLater(self._reactor, seconds)
