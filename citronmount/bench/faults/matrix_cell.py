"""One cell of the fault matrix: a workload disturbed by one or two faults."""

from collections.abc import Callable
import itertools
import random
from typing import Any

import msgspec

from citronmount.agent import homes
from citronmount.bench import harness as harness_lib
from citronmount.bench import harness_network
from citronmount.bench import harness_process
from citronmount.bench import harness_site
from citronmount.bench.faults import client_observations
from citronmount.bench.faults import registry
from citronmount.bench.faults import run_history
from citronmount.bench.faults import simulated_clients
from citronmount.bench.faults import steps
from citronmount.config import configuration
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import states
from citronmount.peers import peer_messages

__all__ = ["Cell", "Injection"]

# Virtual times at which the workload starts, and at which a cell, if its plan
# needs that, kills or drains an owner or cuts a domain off from the platform.
WARM_UP_MS = 9_000
TRIGGER_MS = 13_000
# Durations.
SETTLE_MS = 13_500
COMPLETION_BOUND_MS = 60_000
INJECTION_WINDOW_MS = 30_000

_CHECK_INTERVAL_MS = 500
_REQUEST_INTERVAL_MS = 250
_REQUEST_COUNT = 40
_LOAD_BEFORE_DRAIN_MS = 50
# Families whose steps count only from `TRIGGER_MS` on.
_TRIGGERED_FAMILIES = frozenset({"takeover", "drain", "relay"})
# Steps that occur often; a cell skips a random number of their occurrences
# before it injects the fault.
_FREQUENT_STEPS = frozenset(
    {
        "job.submit",
        "job.accept",
        "job.reserve",
        "job.start",
        "job.renew",
        "job.report",
        "job.end",
        "request.arrive",
        "request.claim",
        "request.send",
        "request.answer",
    }
)


class Injection(msgspec.Struct, frozen=True, kw_only=True):
    """A fault injected at an occurrence of a step.

    Attributes:
        number: Index of the injection in the cell, from 0.
        process: The process in which the step occurred.
        item: The event or effect that is the step.
        at_ms: Virtual time of the injection.
    """

    number: int
    process: harness_process.Process
    item: Any
    at_ms: int


class _PlannedFault(msgspec.Struct, kw_only=True):
    """A fault to inject when its step occurs.

    Attributes:
        fault: The fault.
        step: The step.
        skips: Number of occurrences of the step to let pass first.
    """

    fault: registry.Fault
    step: registry.Step
    skips: int


class Cell:
    """Runs the workload, injects the faults, heals them and awaits the end.

    Attributes:
        rng: Random number generator of the faults.
        site: The site.
        domains: Names of the failure domains.
        harness: The harness that runs the site.
        clients: Simulated clients and operators.
        history: History of the run, which the checks read.
        focus_domain: Failure domain whose owner is killed or drained, or which
            is cut off from the platform.
        injections: The faults injected so far.
        healed_ms: Virtual time at which the last fault ends.
        trial_run_ms: Run time of the trial jobs that fill the pool.
    """

    def __init__(
        self,
        *,
        plan: tuple[tuple[registry.Fault, registry.Step], ...],
        seed: int,
        make_agent: Callable[..., harness_process.AgentLike],
        site: harness_site.Site,
    ) -> None:
        """Initializes a cell.

        Args:
            plan: The faults and the steps at which to inject them.
            seed: Seed of all random number generators.
            make_agent: Creates an agent from the VM's list entry, its
                incarnation and the log's retention time in ms.
            site: The site.
        """
        self.rng = random.Random(seed)
        self.site = site
        self.domains = [str(domain) for domain in site.failure_domains]
        self.focus_domain = site.failure_domains[0]
        self.injections: list[Injection] = []
        self.healed_ms = 0
        self.trial_run_ms = 14_000
        self._planned_faults = [
            _PlannedFault(
                fault=fault,
                step=step,
                skips=self.rng.choice([0, 0, 1, 3])
                if step.name in _FREQUENT_STEPS
                else 0,
            )
            for fault, step in plan
        ]
        self._families = {step.family for _, step in plan}
        retention_ms = min(
            [planned.retention_ms for planned, _ in plan],
            default=registry.DAY_MS,
        )
        self.harness = harness_lib.Harness(
            site=site,
            make_agent=lambda vm, incarnation_ms: make_agent(
                vm, incarnation_ms, retention_ms
            ),
            seed=self.rng.getrandbits(32),
            retention_ms=retention_ms,
        )
        self.clients = simulated_clients.SimulatedClients(
            harness=self.harness, rng=random.Random(self.rng.getrandbits(32))
        )
        self.history = run_history.RunHistory(harness=self.harness)
        self._content = site.configuration
        self.harness.watchers.append(self.history.observe_item)
        self.harness.arrival_watchers.append(self.history.observe_arrival)

    # Methods that faults and sabotages call.

    def schedule(
        self, delay_ms: int, action: Callable[..., object], *args: object
    ) -> None:
        """Schedules a part of a fault.

        Args:
            delay_ms: Virtual time from now.
            action: The function to call.
            *args: Arguments of the function.
        """
        self.harness.clock.after_ms(delay_ms, action, *args)

    def schedule_heal(
        self, delay_ms: int, action: Callable[..., object], *args: object
    ) -> None:
        """Schedules the end of a fault.

        The bounds of the checks and the rest of the run count from the last
        such end. A fault that has nothing to undo passes an empty function.

        Args:
            delay_ms: Virtual time from now.
            action: The function that ends the fault.
            *args: Arguments of the function.
        """
        until_ms = self.harness.clock.now_ms + delay_ms
        self.healed_ms = max(self.healed_ms, until_ms)
        self.schedule(delay_ms, action, *args)

    def kill_after(self, vm: ids.VmId, delay_ms: int) -> None:
        """Kills a process, either before or after it carries out the step.

        Args:
            vm: The VM.
            delay_ms: Virtual time from now. With 0 the process dies before
                the step takes effect.
        """
        if delay_ms:
            self.schedule(delay_ms, self.harness.kill, vm)
        else:
            self.harness.kill(vm)

    def vms_in(self, domain: ids.FailureDomainId) -> list[ids.VmId]:
        """Returns the VMs of a failure domain."""
        return [
            vm.vm for vm in self.site.view.vms if vm.failure_domain == domain
        ]

    def affected_target(self, injection: Injection) -> str:
        """Returns the target of the step, or a random one in its VM's domain.

        Args:
            injection: The injection at the step.
        """
        target = steps.target_of(injection.item)
        if target is not None:
            return target
        domain = injection.process.vm.failure_domain
        targets = (*self.site.view.workers, *self.site.view.runners)
        return self.rng.choice(
            [
                candidate.name
                for candidate in targets
                if candidate.failure_domain == domain
            ]
        )

    def affected_worker(self, injection: Injection) -> str:
        """Returns the worker of the step, or a random one in its VM's domain.

        Args:
            injection: The injection at the step.
        """
        target = steps.target_of(injection.item)
        if target in self.harness.services.workers:
            return str(target)
        domain = injection.process.vm.failure_domain
        return self.rng.choice(
            [
                worker.name
                for worker in self.site.view.workers
                if worker.failure_domain == domain
            ]
        )

    def set_domain_state(
        self, domain: ids.FailureDomainId, state: states.FailureDomainState
    ) -> None:
        """Publishes a configuration that takes a failure domain in or out.

        Args:
            domain: The failure domain.
            state: Its new state.
        """
        domains = tuple(
            configuration.FailureDomain(name=listed.name, state=state)
            if listed.name == domain
            else listed
            for listed in self._content.failure_domains
        )
        self._content = msgspec.structs.replace(
            self._content, failure_domains=domains
        )
        vms_of_other_domain = self.vms_in(ids.FailureDomainId(self.domains[1]))
        publication = self.clients.publish(
            self._content, self.history.log_version(), vms_of_other_domain[0]
        )
        if state is states.FailureDomainState.IN:
            self._republish_if_stale(publication, domain)

    def _republish_if_stale(
        self,
        publication: client_observations.PublicationObservation,
        domain: ids.FailureDomainId,
    ) -> None:
        """Publishes again if the change was based on a stale version.

        Waits until the outcome of the first publication is known.
        """
        if not publication.done:
            self.schedule(
                _CHECK_INTERVAL_MS,
                self._republish_if_stale,
                publication,
                domain,
            )
            return
        body = publication.told[-1].body
        stale = isinstance(body, peer_messages.PublishAnswer) and (
            body.result.code is codes.ResultCode.CONFIGURATION_STALE_BASE
        )
        if stale:
            in_service = states.FailureDomainState.IN
            self.schedule_heal(0, self.set_domain_state, domain, in_service)

    # Phases of a run.

    def run(self) -> None:
        """Runs the cell to its end."""
        self.harness.start_all()
        self.harness.run_until_ms(WARM_UP_MS)
        if self._planned_faults:
            self.harness.watchers.append(self._inject_at_steps)
        self._schedule_workload()
        if self._planned_faults:
            self._run_until_injected()
        self._run_to_end()
        self.history.observe_end(self.clients, self.healed_ms)

    def _inject_at_steps(
        self, process: harness_process.Process, item: Any
    ) -> None:
        triggered = self.harness.clock.now_ms >= TRIGGER_MS
        for planned in list(self._planned_faults):
            needs_trigger = planned.step.family in _TRIGGERED_FAMILIES
            if needs_trigger and not triggered:
                continue
            if not planned.step.seen(self, process, item):
                continue
            if planned.skips:
                planned.skips -= 1
                continue
            self._planned_faults.remove(planned)
            self._inject(planned.fault, process, item)
        if not self._planned_faults:
            self.harness.watchers.remove(self._inject_at_steps)

    def _inject(
        self, fault: registry.Fault, process: harness_process.Process, item: Any
    ) -> None:
        injection = Injection(
            number=len(self.injections),
            process=process,
            item=item,
            at_ms=self.harness.clock.now_ms,
        )
        self.injections.append(injection)
        self.healed_ms = max(self.healed_ms, injection.at_ms)
        fault.inject(self, injection)

    def _run_until_injected(self) -> None:
        until_ms = WARM_UP_MS + INJECTION_WINDOW_MS
        while self._planned_faults and self.harness.clock.now_ms < until_ms:
            now_ms = self.harness.clock.now_ms
            self.harness.run_until_ms(now_ms + _CHECK_INTERVAL_MS)

    def _run_to_end(self) -> None:
        """Runs until no client or operator expects an answer.

        The run lasts at least the settling time after the last disturbance and
        ends at the completion bound even if answers are missing.
        """
        while (
            self.harness.clock.now_ms < self._disturbances_end_ms() + SETTLE_MS
        ):
            self.harness.run_until_ms(self._disturbances_end_ms() + SETTLE_MS)
        while (
            not self.clients.settled()
            and self.harness.clock.now_ms
            < self._disturbances_end_ms() + COMPLETION_BOUND_MS
        ):
            now_ms = self.harness.clock.now_ms
            self.harness.run_until_ms(now_ms + _CHECK_INTERVAL_MS)

    def _disturbances_end_ms(self) -> int:
        """Returns the virtual time at which the last fault has ended.

        It is not before the workload is submitted and its last request sent.
        """
        return max(TRIGGER_MS + 6_000, self.healed_ms)

    def _schedule_workload(self) -> None:
        """Fills the pool with trial jobs, then submits a guaranteed gang."""
        clients = self.clients
        for index, domain in enumerate(self.site.failure_domains):
            clients.submit(
                f"trial-{index}",
                harness_site.TRIAL,
                tasks=2,
                accelerators=8,
                run_ms=self.trial_run_ms,
                save_ms=400,
                vm=self.vms_in(domain)[0],
            )
        self.schedule(
            1_500,
            lambda: clients.submit(
                "gang",
                harness_site.PAYING,
                tasks=2,
                accelerators=8,
                run_ms=4_000,
                must_run=True,
            ),
        )
        self.schedule(
            500,
            lambda: clients.submit(
                "once", harness_site.PAYING, run_ms=3_000, idempotent=False
            ),
        )
        self.schedule(1_100, clients.resubmit, "once")
        self.schedule(
            800,
            lambda: clients.submit(
                "cancelled", harness_site.TRIAL, run_ms=20_000
            ),
        )
        self.schedule(4_500, clients.cancel, "cancelled")
        self.schedule(
            900,
            lambda: clients.submit(
                "failing", harness_site.PAYING, run_ms=700, exit_code=3
            ),
        )
        self.schedule(
            950,
            lambda: clients.submit(
                "never", harness_site.PAYING, tasks=100, accelerators=8
            ),
        )
        for index in range(_REQUEST_COUNT):
            self.schedule(
                index * _REQUEST_INTERVAL_MS,
                self._send_request,
                index,
            )
        self._schedule_family_events()

    def _send_request(self, index: int) -> None:
        self.clients.send_request(
            harness_site.PAYING,
            idempotent=index % 2 == 0,
            service_ms=self.rng.choice([10, 30, 80, 300]),
            duplicate=index % 8 == 3,
        )

    def _schedule_family_events(self) -> None:
        """Schedules the changes, cuts, kills and drains that the plan needs."""
        wait_ms = TRIGGER_MS - WARM_UP_MS
        if {"change", "relay"} & self._families:
            last_domain = self.site.failure_domains[-1]
            out_of_service, in_service = (
                states.FailureDomainState.OUT,
                states.FailureDomainState.IN,
            )
            self.schedule(
                wait_ms + 500,
                self.set_domain_state,
                last_domain,
                out_of_service,
            )
            self.schedule(
                wait_ms + 8_000, self.set_domain_state, last_domain, in_service
            )
        if "relay" in self._families:
            self.schedule(wait_ms, self._cut_focus_domain_from_platform)
        if "takeover" in self._families:
            self.schedule(wait_ms, self._kill_owner)
        if "drain" in self._families:
            self.schedule(
                wait_ms - _LOAD_BEFORE_DRAIN_MS, self._send_requests_to_owner
            )
            self.schedule(wait_ms, self._drain_owner)

    def _cut_focus_domain_from_platform(self) -> None:
        platform = harness_network.PLATFORM
        pairs = {
            (str(self.focus_domain), platform),
            (platform, str(self.focus_domain)),
        }
        self.harness.network.cuts |= pairs

        def heal() -> None:
            self.harness.network.cuts -= pairs

        self.schedule_heal(9_000, heal)

    def _focus_domain_owner(self) -> ids.VmId:
        """Returns the VM that owns the focus domain, or else its first VM."""
        owners = run_history.owners_at(self.harness, self.harness.clock.now_ms)
        domain_owners = [
            vm for vm in self.vms_in(self.focus_domain) if vm in owners
        ]
        return (
            domain_owners[0]
            if domain_owners
            else self.vms_in(self.focus_domain)[0]
        )

    def _submit_to_focus_domain(self) -> None:
        """Submits a job whose home is the focus domain.

        It is called shortly after the owner was killed or drained, so that the
        domain has no owner or a new one.
        """
        name = next(
            name
            for name in map("after-{}".format, itertools.count())
            if homes.home_of_key(
                self.site.configuration,
                harness_site.PAYING,
                client_observations.job_idempotency_key(name),
            )
            == self.focus_domain
        )
        self.clients.submit(
            name, harness_site.PAYING, run_ms=1_500, idempotent=False
        )

    def _kill_owner(self) -> None:
        owner = self._focus_domain_owner()
        self.schedule(200, self._submit_to_focus_domain)
        self.harness.kill(owner)
        self.schedule_heal(9_000, self.harness.start, owner)

    def _send_requests_to_owner(self) -> None:
        """Sends requests that are still running when the owner is drained."""
        for idempotent in (True, False):
            self.clients.send_request(
                harness_site.PAYING,
                idempotent=idempotent,
                service_ms=400,
                vm=self._focus_domain_owner(),
            )

    def _drain_owner(self) -> None:
        owner = self._focus_domain_owner()
        self.schedule(200, self._submit_to_focus_domain)
        self.harness.drain(owner)
        self.schedule_heal(100, lambda: None)
        self._replace_drained(owner)

    def _replace_drained(self, vm: ids.VmId) -> None:
        """Polls until a drained VM has exited, then schedules its restart."""
        process = self.harness.processes[vm]
        if process.agent is None:
            self.schedule(2_000, self.harness.start, vm)
        elif process.draining:
            self.schedule(_CHECK_INTERVAL_MS, self._replace_drained, vm)
