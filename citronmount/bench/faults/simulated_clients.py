"""Simulated clients and operators, which record the answers they receive."""

from collections.abc import Callable
import itertools
import json
import random

import msgspec

from citronmount.bench import harness as harness_lib
from citronmount.bench.faults import client_observations
from citronmount.config import configuration
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.peers import peer_messages
from citronmount.state import records

__all__ = ["SimulatedClients"]

_RETRY_DELAY_MS = 700
_POLL_INTERVAL_MS = 1_500
_MAX_REQUEST_TRIES = 4
_DUPLICATE_DELAY_MS = 3


class SimulatedClients:
    """Sends calls to live VMs, retries them and records every outcome.

    As behind a load balancer, a call goes to a random VM unless one is given;
    retries of submissions and short requests avoid the VM of the last try. A
    retry has the idempotency key of the first try, if there is one.

    Attributes:
        jobs: All jobs, by the client's name.
        requests: All short requests, by name.
        publications: All published configuration changes.
        content: Unused; always None.
        version: Base version that racing operators use; always 1.
    """

    def __init__(
        self, *, harness: harness_lib.Harness, rng: random.Random
    ) -> None:
        """Initializes clients that have sent nothing.

        Args:
            harness: The harness that runs the site.
            rng: Random number generator that chooses VMs.
        """
        self.jobs: dict[str, client_observations.JobObservation] = {}
        self.requests: dict[str, client_observations.RequestObservation] = {}
        self.publications: list[client_observations.PublicationObservation] = []
        self.content: configuration.Configuration | None = None
        self.version = ids.Version(1)
        self._harness = harness
        self._rng = rng
        self._names = itertools.count(1)

    def settled(self) -> bool:
        """Returns whether no client or operator expects an answer."""
        return (
            all(observation.settled for observation in self.jobs.values())
            and all(observation.done for observation in self.requests.values())
            and all(observation.done for observation in self.publications)
        )

    def pick_vm(self, avoid: ids.VmId | None = None) -> ids.VmId | None:
        """Returns a random live VM that is not draining, or None.

        Args:
            avoid: VM to choose only if there is no other, such as the one
                that the last try went to.
        """
        serving_vms = [
            vm
            for vm in self._harness.running_vms()
            if not self._harness.processes[vm].draining
        ]
        other_vms = [vm for vm in serving_vms if vm != avoid]
        return (
            self._rng.choice(other_vms or serving_vms) if serving_vms else None
        )

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
    ) -> client_observations.JobObservation:
        """Submits a job and polls its status until it is final.

        Args:
            name: The client's name of the job.
            account: The client account.
            tasks: Gang size.
            accelerators: Accelerators of each task.
            run_ms: Actual run time.
            exit_code: Exit code of its tasks.
            save_ms: Time that its tasks take to checkpoint before a stop.
            idempotent: Whether it may run more than once.
            must_run: Whether it is within the account's guarantee, so that it
                must start within the reclaim bound.
            vm: VM for the first try, or None for any.
            declared_s: Declared run time in seconds, if not the actual one.
            urgent: Whether it is urgent.

        Returns:
            The observation, updated with each outcome.
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
            idempotency_key=""
            if idempotent
            else client_observations.job_idempotency_key(name),
            command=json.dumps(command),
            urgent=urgent,
        )
        job = client_observations.JobObservation(
            name=name,
            spec=spec,
            submitted_ms=self._harness.clock.now_ms,
            must_run=must_run,
        )
        self.jobs[name] = job
        self._submit(job, vm)
        return job

    def resubmit(self, name: str) -> None:
        """Submits a job again, like a client that has received no answer.

        Args:
            name: The client's name of the job.
        """
        job = self.jobs[name]
        body = peer_messages.SubmitJob(spec=job.spec)

        def on_outcome(outcome: client_observations.CallOutcome) -> None:
            job.told.append(outcome)

        self._call(body, on_outcome)

    def cancel(self, name: str) -> None:
        """Cancels a job once accepted, and retries until it gets a status.

        Args:
            name: The client's name of the job.
        """
        job = self.jobs[name]
        if job.settled:
            return
        if job.job is None:
            self._schedule(_RETRY_DELAY_MS, self.cancel, name)
            return
        if job.cancelled_ms is None:
            job.cancelled_ms = self._harness.clock.now_ms

        def on_outcome(outcome: client_observations.CallOutcome) -> None:
            self._record_status(job, outcome)
            if not isinstance(outcome.body, peer_messages.JobAnswer):
                self._schedule(_RETRY_DELAY_MS, self.cancel, name)

        self._call(peer_messages.CancelJob(job=job.job), on_outcome)

    def cancel_all(
        self, account: ids.AccountId, domain: ids.FailureDomainId
    ) -> None:
        """Cancels every job of an account in a failure domain, without retry.

        `cancelled_ms` is set for all open jobs of the account, whatever their
        failure domain.

        Args:
            account: The client account.
            domain: The failure domain.
        """
        now_ms = self._harness.clock.now_ms
        for job in self.jobs.values():
            if job.spec.account == account and not job.settled:
                job.cancelled_ms = job.cancelled_ms or now_ms
        body = peer_messages.CancelJobs(account=account, failure_domain=domain)
        self._call(body, lambda outcome: None)

    def send_request(
        self,
        account: ids.AccountId,
        *,
        idempotent: bool,
        service_ms: int,
        duplicate: bool = False,
        vm: ids.VmId | None = None,
    ) -> client_observations.RequestObservation:
        """Sends a short request, with up to `_MAX_REQUEST_TRIES` tries.

        Each try has a request id of its own.

        Args:
            account: The client account.
            idempotent: Whether it may run more than once.
            service_ms: Service time at the runner.
            duplicate: Whether to send it again a few milliseconds later without
                waiting for the first answer.
            vm: VM for the first try, or None for any.

        Returns:
            The observation, updated with each outcome.
        """
        name = f"r{next(self._names)}"
        request = client_observations.RequestObservation(
            name=name, specs={}, submitted_ms=self._harness.clock.now_ms
        )
        self.requests[name] = request
        template = jobs.RequestSpec(
            request=ids.RequestId(name),
            account=account,
            payload=json.dumps({"service_ms": service_ms, "name": name}),
            idempotent=idempotent,
            idempotency_key="" if idempotent else name,
        )
        self._try_request(request, template, None, vm)
        if duplicate:
            request.open += 1
            self._schedule(
                _DUPLICATE_DELAY_MS,
                self._retry_request,
                request,
                template,
                None,
            )
        return request

    def publish(
        self,
        content: configuration.Configuration,
        base_version: ids.Version,
        vm: ids.VmId | None = None,
    ) -> client_observations.PublicationObservation:
        """Publishes a configuration and retries until the outcome is known.

        Gives up after `client_observations.MAX_TRIES` tries.

        Args:
            content: The configuration.
            base_version: Version on which the operator based the change.
            vm: VM for the first try, or None for any.

        Returns:
            The observation, updated with each outcome.
        """
        change = records.ConfigurationChange(
            record=ids.RecordId(f"change-{next(self._names)}"),
            base_version=base_version,
            author="operator",
            content=content,
        )
        publication = client_observations.PublicationObservation(
            change=change, submitted_ms=self._harness.clock.now_ms
        )
        self.publications.append(publication)
        self._publish(publication, vm)
        return publication

    def _schedule(
        self, delay_ms: int, action: Callable[..., object], *args: object
    ) -> None:
        self._harness.clock.after_ms(delay_ms, action, *args)

    def _call(
        self,
        body: peer_messages.CallerCall,
        on_outcome: Callable[[client_observations.CallOutcome], None],
        *,
        vm: ids.VmId | None = None,
        avoid: ids.VmId | None = None,
        timeout_ms: int = 6_000,
    ) -> None:
        chosen_vm = vm or self.pick_vm(avoid)
        if chosen_vm is None:
            self._schedule(
                _RETRY_DELAY_MS, self._retry_call, body, on_outcome, timeout_ms
            )
            return
        sent_ms = self._harness.clock.now_ms
        request = ""
        if isinstance(body, peer_messages.RunRequest):
            request = body.spec.request

        def on_answer(answer: peer_messages.Answer | None) -> None:
            on_outcome(
                client_observations.CallOutcome(
                    at_ms=self._harness.clock.now_ms,
                    sent_ms=sent_ms,
                    vm=chosen_vm,
                    body=answer,
                    request=request,
                )
            )

        self._harness.call(chosen_vm, body, on_answer, timeout_ms)

    def _retry_call(
        self,
        body: peer_messages.CallerCall,
        on_outcome: Callable[[client_observations.CallOutcome], None],
        timeout_ms: int,
    ) -> None:
        self._call(body, on_outcome, timeout_ms=timeout_ms)

    def _submit(
        self,
        job: client_observations.JobObservation,
        vm: ids.VmId | None,
        avoid: ids.VmId | None = None,
    ) -> None:
        job.tries += 1

        def on_outcome(outcome: client_observations.CallOutcome) -> None:
            job.told.append(outcome)
            match outcome.body:
                case peer_messages.JobAnswer(status=status):
                    job.job = status.job
                    job.accepted_ms = outcome.at_ms
                    self._record_status(job, outcome, add_outcome=False)
                    self._schedule(_POLL_INTERVAL_MS, self._poll, job)
                case peer_messages.Failure(result=result):
                    if codes.info(result.code).retry:
                        self._retry_submit(job, outcome.vm)
                    elif codes.info(result.code).proves_not_run:
                        job.refused = result
                    else:
                        self._retry_submit(job, outcome.vm)
                case _:
                    self._retry_submit(job, outcome.vm)

        self._call(
            peer_messages.SubmitJob(spec=job.spec),
            on_outcome,
            vm=vm,
            avoid=avoid,
        )

    def _retry_submit(
        self, job: client_observations.JobObservation, avoid: ids.VmId
    ) -> None:
        if job.tries < client_observations.MAX_TRIES:
            self._schedule(_RETRY_DELAY_MS, self._submit, job, None, avoid)

    def _poll(self, job: client_observations.JobObservation) -> None:
        if job.final is not None or job.job is None:
            return

        def on_outcome(outcome: client_observations.CallOutcome) -> None:
            self._record_status(job, outcome)
            self._schedule(_POLL_INTERVAL_MS, self._poll, job)

        self._call(peer_messages.GetJob(job=job.job), on_outcome)

    def _record_status(
        self,
        job: client_observations.JobObservation,
        outcome: client_observations.CallOutcome,
        add_outcome: bool = True,
    ) -> None:
        if add_outcome:
            job.told.append(outcome)
        if not isinstance(outcome.body, peer_messages.JobAnswer):
            return
        status = outcome.body.status
        if status.state.final and job.final is None:
            job.final = status

    def _try_request(
        self,
        request: client_observations.RequestObservation,
        template: jobs.RequestSpec,
        avoid: ids.VmId | None,
        vm: ids.VmId | None = None,
    ) -> None:
        number = len(request.specs) + 1
        spec = msgspec.structs.replace(
            template, request=ids.RequestId(f"{request.name}.{number}")
        )
        request.specs[spec.request] = spec
        request.open += 1

        def on_outcome(outcome: client_observations.CallOutcome) -> None:
            request.told.append(outcome)
            request.open -= 1
            if len(request.specs) < _MAX_REQUEST_TRIES and _should_retry(
                outcome.body
            ):
                request.open += 1
                self._schedule(
                    _RETRY_DELAY_MS,
                    self._retry_request,
                    request,
                    template,
                    outcome.vm,
                )

        self._call(
            peer_messages.RunRequest(spec=spec), on_outcome, vm=vm, avoid=avoid
        )

    def _retry_request(
        self,
        request: client_observations.RequestObservation,
        template: jobs.RequestSpec,
        avoid: ids.VmId | None,
    ) -> None:
        request.open -= 1
        self._try_request(request, template, avoid)

    def _publish(
        self,
        publication: client_observations.PublicationObservation,
        vm: ids.VmId | None,
    ) -> None:
        def on_outcome(outcome: client_observations.CallOutcome) -> None:
            publication.told.append(outcome)
            outcome_known = isinstance(
                outcome.body, peer_messages.PublishAnswer
            ) and (
                outcome.body.result.code
                is not codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN
            )
            if (
                outcome_known
                or len(publication.told) >= client_observations.MAX_TRIES
            ):
                publication.done = True
            else:
                self._schedule(
                    _RETRY_DELAY_MS, self._publish, publication, None
                )

        self._call(
            peer_messages.PublishConfiguration(change=publication.change),
            on_outcome,
            vm=vm,
            timeout_ms=10_000,
        )


def _should_retry(body: peer_messages.Answer | None) -> bool:
    """Returns whether a client retries a request after this answer."""
    match body:
        case None:
            return True
        case peer_messages.RequestAnswer(result=result):
            code = result.code
        case peer_messages.Failure(result=result):
            code = result.code
        case _:
            return False
    outcome_unknown = code is codes.ResultCode.OUTCOME_UNKNOWN
    return outcome_unknown or codes.info(code).retry
