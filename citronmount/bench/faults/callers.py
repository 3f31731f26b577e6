"""Callers and operators of the fault matrix, with what they were told."""

from collections.abc import Callable
import itertools
import json
import random

import msgspec

from citronmount.bench import harness as harness_lib
from citronmount.bench.faults import cases
from citronmount.config import configuration
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = ["Callers"]

_RETRY_MS = 700
_POLL_MS = 1_500
_REQUEST_TRIES = 4
_IMPATIENT_MS = 3


class Callers:
    """Sends calls through any live VM and keeps what it is told.

    Retries go to another VM, as a balancer does, with the same idempotency
    key.
    """

    def __init__(
        self, *, harness: harness_lib.Harness, rng: random.Random
    ) -> None:
        """Initializes callers that have sent nothing.

        Args:
            harness: The site.
            rng: Chooses VMs.
        """
        self.jobs: dict[str, cases.JobCase] = {}
        self.requests: dict[str, cases.RequestCase] = {}
        self.publications: list[cases.PublishCase] = []
        self.content: configuration.Configuration | None = None
        self.version = ids.Version(1)
        self._harness = harness
        self._rng = rng
        self._names = itertools.count(1)

    def settled(self) -> bool:
        """Returns whether no caller waits for anything."""
        return (
            all(case.settled for case in self.jobs.values())
            and all(case.done for case in self.requests.values())
            and all(case.done for case in self.publications)
        )

    def pick(self, avoid: ids.VmId | None = None) -> ids.VmId | None:
        """Returns the VM that the balancer sends the next call to.

        Args:
            avoid: The VM that gave no answer last time.
        """
        serving = [
            vm
            for vm in self._harness.running_vms()
            if not self._harness.processes[vm].draining
        ]
        others = [vm for vm in serving if vm != avoid]
        return self._rng.choice(others or serving) if serving else None

    def submit(
        self,
        name: str,
        account: ids.AccountId,
        *,
        tasks: int = 1,
        accelerators: int = 1,
        run_ms: int = 1_000,
        exit_code: int = 0,
        save_ms: int = 0,
        idempotent: bool = True,
        must_run: bool = False,
        vm: ids.VmId | None = None,
        declared_s: float | None = None,
        urgent: bool = False,
    ) -> cases.JobCase:
        """Submits a job and follows it to its end.

        Args:
            name: Marks the job.
            account: The client account.
            tasks: Gang size.
            accelerators: Accelerators of each task.
            run_ms: True run time.
            exit_code: Exit code of its tasks.
            save_ms: How long its tasks save their work before a stop.
            idempotent: Whether it may run again.
            must_run: Whether it lies inside the account's guarantee.
            vm: The first VM to call, or None for any.
            declared_s: Declared run time, if not the true one.
            urgent: Whether it is urgent.

        Returns:
            What its caller sees.
        """
        command = {
            "run_ms": run_ms,
            "exit_code": exit_code,
            "save_ms": save_ms,
            "name": name,
        }
        spec = jobs.JobSpec(
            job=ids.JobId(""),
            account=account,
            tasks=tasks,
            per_task=jobs.Resources(
                accelerators=accelerators, cores=1, memory_gb=1
            ),
            run_time_s=run_ms / 1_000 if declared_s is None else declared_s,
            idempotent=idempotent,
            idempotency_key="" if idempotent else cases.key_of(name),
            command=json.dumps(command),
            urgent=urgent,
        )
        case = cases.JobCase(
            name=name,
            spec=spec,
            submitted_ms=self._harness.clock.now_ms,
            must_run=must_run,
        )
        self.jobs[name] = case
        self._submit(case, vm)
        return case

    def resubmit(self, name: str) -> None:
        """Sends a job again with its key, as a caller without answer does.

        Args:
            name: Marks the job.
        """
        case = self.jobs[name]
        body = peer_messages.SubmitJob(spec=case.spec)

        def told(told: cases.Told) -> None:
            case.told.append(told)

        self._call(body, told)

    def cancel(self, name: str) -> None:
        """Cancels a job once it has been accepted.

        Args:
            name: Marks the job.
        """
        case = self.jobs[name]
        if case.settled:
            return
        if case.job is None:
            self._later(_RETRY_MS, self.cancel, name)
            return
        if case.cancelled_ms is None:
            case.cancelled_ms = self._harness.clock.now_ms

        def told(told: cases.Told) -> None:
            self._note_status(case, told)
            if not isinstance(told.body, peer_messages.JobAnswer):
                self._later(_RETRY_MS, self.cancel, name)

        self._call(peer_messages.CancelJob(job=case.job), told)

    def cancel_all(
        self, account: ids.AccountId, domain: ids.FailureDomainId
    ) -> None:
        """Cancels every job of an account in a failure domain.

        Args:
            account: The account.
            domain: The failure domain.
        """
        now_ms = self._harness.clock.now_ms
        for case in self.jobs.values():
            if case.spec.account == account and not case.settled:
                case.cancelled_ms = case.cancelled_ms or now_ms
        body = peer_messages.CancelJobs(account=account, failure_domain=domain)
        self._call(body, lambda told: None)

    def request(
        self,
        account: ids.AccountId,
        *,
        idempotent: bool,
        service_ms: int,
        twice: bool = False,
        vm: ids.VmId | None = None,
    ) -> cases.RequestCase:
        """Sends a short request.

        Args:
            account: The client account.
            idempotent: Whether it may run more than once.
            service_ms: How long a runner works on it.
            twice: Whether an impatient caller sends it through a second VM
                without waiting for the first answer.
            vm: The first VM to call, or None for any.

        Returns:
            What its caller sees.
        """
        name = f"r{next(self._names)}"
        case = cases.RequestCase(
            name=name, specs={}, submitted_ms=self._harness.clock.now_ms
        )
        self.requests[name] = case
        template = jobs.RequestSpec(
            request=ids.RequestId(name),
            account=account,
            payload=json.dumps({"service_ms": service_ms, "name": name}),
            idempotent=idempotent,
            idempotency_key="" if idempotent else name,
        )
        self._request(case, template, None, vm)
        if twice:
            case.open += 1
            self._later(
                _IMPATIENT_MS, self._request_again, case, template, None
            )
        return case

    def publish(
        self,
        content: configuration.Configuration,
        base_version: ids.Version,
        vm: ids.VmId | None = None,
    ) -> cases.PublishCase:
        """Publishes a configuration until its outcome is known.

        Args:
            content: The configuration.
            base_version: The version that the operator saw.
            vm: The first VM to call, or None for any.

        Returns:
            What its operator sees.
        """
        change = records.ConfigurationChange(
            record=ids.RecordId(f"change-{next(self._names)}"),
            base_version=base_version,
            author="operator",
            content=content,
        )
        case = cases.PublishCase(
            change=change, submitted_ms=self._harness.clock.now_ms
        )
        self.publications.append(case)
        self._publish(case, vm)
        return case

    def _later(
        self, delay_ms: int, action: Callable[..., object], *args: object
    ) -> None:
        self._harness.clock.after_ms(delay_ms, action, *args)

    def _call(
        self,
        body: peer_messages.CallerCall,
        tell: Callable[[cases.Told], None],
        *,
        vm: ids.VmId | None = None,
        avoid: ids.VmId | None = None,
        timeout_ms: int = 6_000,
    ) -> None:
        chosen = vm or self.pick(avoid)
        if chosen is None:
            self._later(_RETRY_MS, self._call_again, body, tell, timeout_ms)
            return
        sent_ms = self._harness.clock.now_ms
        request = ""
        if isinstance(body, peer_messages.RunRequest):
            request = body.spec.request

        def answered(answer: peer_messages.Answer | None) -> None:
            tell(
                cases.Told(
                    at_ms=self._harness.clock.now_ms,
                    sent_ms=sent_ms,
                    vm=chosen,
                    body=answer,
                    request=request,
                )
            )

        self._harness.call(chosen, body, answered, timeout_ms)

    def _call_again(
        self,
        body: peer_messages.CallerCall,
        tell: Callable[[cases.Told], None],
        timeout_ms: int,
    ) -> None:
        self._call(body, tell, timeout_ms=timeout_ms)

    def _submit(
        self,
        case: cases.JobCase,
        vm: ids.VmId | None,
        avoid: ids.VmId | None = None,
    ) -> None:
        case.tries += 1

        def told(told: cases.Told) -> None:
            case.told.append(told)
            match told.body:
                case peer_messages.JobAnswer(status=status):
                    case.job = status.job
                    case.accepted_ms = told.at_ms
                    self._note_status(case, told, keep=False)
                    self._later(_POLL_MS, self._poll, case)
                case peer_messages.Failure(result=result):
                    if codes.info(result.code).retry:
                        self._retry_submit(case, told.vm)
                    elif codes.info(result.code).proves_not_run:
                        case.refused = result
                    else:
                        self._retry_submit(case, told.vm)
                case _:
                    self._retry_submit(case, told.vm)

        self._call(
            peer_messages.SubmitJob(spec=case.spec), told, vm=vm, avoid=avoid
        )

    def _retry_submit(self, case: cases.JobCase, avoid: ids.VmId) -> None:
        if case.tries < cases.MAX_TRIES:
            self._later(_RETRY_MS, self._submit, case, None, avoid)

    def _poll(self, case: cases.JobCase) -> None:
        if case.final is not None or case.job is None:
            return

        def told(told: cases.Told) -> None:
            self._note_status(case, told)
            self._later(_POLL_MS, self._poll, case)

        self._call(peer_messages.GetJob(job=case.job), told)

    def _note_status(
        self, case: cases.JobCase, told: cases.Told, keep: bool = True
    ) -> None:
        if keep:
            case.told.append(told)
        if not isinstance(told.body, peer_messages.JobAnswer):
            return
        status = told.body.status
        if status.state.final and case.final is None:
            case.final = status

    def _request(
        self,
        case: cases.RequestCase,
        template: jobs.RequestSpec,
        avoid: ids.VmId | None,
        vm: ids.VmId | None = None,
    ) -> None:
        number = len(case.specs) + 1
        spec = msgspec.structs.replace(
            template, request=ids.RequestId(f"{case.name}.{number}")
        )
        case.specs[spec.request] = spec
        case.open += 1

        def told(told: cases.Told) -> None:
            case.told.append(told)
            case.open -= 1
            if len(case.specs) < _REQUEST_TRIES and _worth_retry(told.body):
                case.open += 1
                self._later(
                    _RETRY_MS, self._request_again, case, template, told.vm
                )

        self._call(
            peer_messages.RunRequest(spec=spec), told, vm=vm, avoid=avoid
        )

    def _request_again(
        self,
        case: cases.RequestCase,
        template: jobs.RequestSpec,
        avoid: ids.VmId | None,
    ) -> None:
        case.open -= 1
        self._request(case, template, avoid)

    def _publish(self, case: cases.PublishCase, vm: ids.VmId | None) -> None:
        def told(told: cases.Told) -> None:
            case.told.append(told)
            known = isinstance(told.body, peer_messages.PublishAnswer) and (
                told.body.result.code
                is not codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN
            )
            if known or len(case.told) >= cases.MAX_TRIES:
                case.done = True
            else:
                self._later(_RETRY_MS, self._publish, case, None)

        self._call(
            peer_messages.PublishConfiguration(change=case.change),
            told,
            vm=vm,
            timeout_ms=10_000,
        )


def _worth_retry(body: peer_messages.Answer | None) -> bool:
    """Returns whether a caller asks again, with the same key if any."""
    match body:
        case None:
            return True
        case peer_messages.RequestAnswer(result=result):
            code = result.code
        case peer_messages.Failure(result=result):
            code = result.code
        case _:
            return False
    unknown = code is codes.ResultCode.OUTCOME_UNKNOWN
    return unknown or codes.info(code).retry
