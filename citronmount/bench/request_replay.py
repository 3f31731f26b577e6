"""Discrete-event simulation of short requests, one `RequestRouter` per VM."""

from collections.abc import Callable
import heapq
import itertools

import msgspec

from citronmount.bench import request_workload
from citronmount.clients import messages
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import request_decisions
from citronmount.core import request_router

__all__ = [
    "RequestOutcome",
    "RouterReplay",
    "replay_random_runners",
    "replay_single_queue",
]

# One-way delay between caller and VM, VM and runner, or two VMs.
LINK_DELAY_MS = 1
HEARTBEAT_MS = 1_000
TIMEOUT_MS = 5_000


class RequestOutcome(msgspec.Struct, frozen=True, kw_only=True):
    """Outcome of one request for its caller.

    Attributes:
        request: The request.
        result: Final result, or None if none arrived.
        took_ms: Round trip time from the caller.
        waited_ms: Time from arrival at the VM to the first send to a runner.
    """

    request: request_workload.TracedRequest
    result: jobs.RequestResult | None
    took_ms: int
    waited_ms: int


def replay_single_queue(
    site: request_workload.RequestSite,
    trace: tuple[request_workload.TracedRequest, ...],
) -> list[RequestOutcome]:
    """Serves requests from one ideal queue for each failure domain.

    Every free slot is known at once and no slot is idle while a request
    waits, which a system of several VMs with links between them cannot
    achieve.

    Args:
        site: The runners.
        trace: The requests in the order of arrival.

    Returns:
        The outcomes, in the order of the requests.
    """
    free_at_ms = {
        domain: [0] * sum(runner.slots for runner in runners)
        for domain, runners in site.runners.items()
    }
    outcomes = []
    for request in trace:
        slots = free_at_ms[request.domain]
        start_ms = max(request.arrival_ms, slots[0])
        heapq.heapreplace(slots, start_ms + request.service_ms)
        outcomes.append(_make_outcome(request, start_ms, request.service_ms))
    return outcomes


def replay_random_runners(
    site: request_workload.RequestSite,
    trace: tuple[request_workload.TracedRequest, ...],
    slow: dict[str, float],
) -> list[RequestOutcome]:
    """Sends each request at once to a random runner with a FIFO queue.

    Args:
        site: The runners.
        trace: The requests in the order of arrival.
        slow: Factors of the service times of slow runners, by name.

    Returns:
        The outcomes, in the order of the requests.
    """
    free_at_ms = {
        runner.name: [0] * runner.slots
        for runners in site.runners.values()
        for runner in runners
    }
    outcomes = []
    for number, request in enumerate(trace):
        runners = site.runners[request.domain]
        runner = runners[multiplicative_hash(number) % len(runners)].name
        start_ms = max(request.arrival_ms, free_at_ms[runner][0])
        service_ms = _service_ms(request, runner, slow)
        heapq.heapreplace(free_at_ms[runner], start_ms + service_ms)
        outcomes.append(_make_outcome(request, start_ms, service_ms))
    return outcomes


def multiplicative_hash(number: int) -> int:
    """Returns a pseudo-random number, by Knuth's multiplicative hash.

    Args:
        number: The number to hash.

    Returns:
        The upper sixteen bits of the 32-bit hash.
    """
    return (number * 2_654_435_761 % (1 << 32)) >> 16


def _make_outcome(
    request: request_workload.TracedRequest, start_ms: int, service_ms: int
) -> RequestOutcome:
    result = jobs.RequestResult(
        request=request.request, code=codes.ResultCode.DONE
    )
    waited_ms = start_ms - request.arrival_ms
    return RequestOutcome(
        request=request,
        result=result,
        took_ms=waited_ms + service_ms + 4 * LINK_DELAY_MS,
        waited_ms=waited_ms,
    )


def _service_ms(
    request: request_workload.TracedRequest,
    runner: str,
    slow: dict[str, float],
) -> int:
    return max(1, round(request.service_ms * slow.get(runner, 1.0)))


class RouterReplay:
    """Simulation of the request routers, the runners and their links.

    Attributes:
        sends: Number of sends to runners, including hedges.
        hedges: Number of hedges.
        offers: Number of offers to peers.
        offers_refused: Number of offers that the peer refused.
        busy_answers: Number of sends to runners without a free slot.
    """

    def __init__(
        self,
        *,
        site: request_workload.RequestSite,
        trace: tuple[request_workload.TracedRequest, ...],
        offers: bool = True,
        hedge_share: float = request_router.HEDGE_SHARE,
        slow: dict[str, float] | None = None,
    ) -> None:
        """Initializes a replay at time 0.

        Args:
            site: The runners and VMs.
            trace: The requests in the order of arrival.
            offers: Whether VMs exchange their numbers of free slots, without
                which they make no offers.
            hedge_share: Number of hedges allowed per request; 0 disables
                hedges.
            slow: Factors of the service times of slow runners, by name.
        """
        self.sends = 0
        self.hedges = 0
        self.offers = 0
        self.offers_refused = 0
        self.busy_answers = 0
        self._site = site
        self._slow = slow or {}
        self._trace = {request.request: request for request in trace}
        self._first_send_ms: dict[ids.RequestId, int] = {}
        self._outcomes: dict[ids.RequestId, RequestOutcome] = {}
        self._offering_vms: dict[ids.RequestId, ids.VmId] = {}
        self._used_slots: dict[ids.RunnerId, int] = {}
        self._slots: dict[ids.RunnerId, int] = {}
        self._routers: dict[ids.VmId, request_router.RequestRouter] = {}
        self._heap: list[tuple[int, int, Callable[[int], None]]] = []
        self._sequence = itertools.count()
        self._wake_times_ms: dict[ids.VmId, int] = {}
        self._offers_enabled = offers
        for domain in site.runners:
            self._add_domain(domain, hedge_share)
        for request in trace:
            self._schedule(request.arrival_ms, self._make_arrival(request))
        if offers:
            self._schedule(0, self._send_heartbeats)
        self._last_arrival_ms = trace[-1].arrival_ms if trace else 0

    def run(self) -> list[RequestOutcome]:
        """Handles all events.

        Returns:
            The outcomes, in the order of the requests.
        """
        while self._heap:
            now_ms, _, action = heapq.heappop(self._heap)
            action(now_ms)
        return [
            self._outcomes.get(name)
            or RequestOutcome(
                request=request,
                result=None,
                took_ms=TIMEOUT_MS,
                waited_ms=TIMEOUT_MS,
            )
            for name, request in self._trace.items()
        ]

    def _add_domain(self, domain: str, hedge_share: float) -> None:
        vms = self._site.vms[domain]
        for index, vm in enumerate(vms):
            router = request_router.RequestRouter(
                vm=vm, hedge_share=hedge_share
            )
            router.set_runners(self._site.runners[domain])
            router.set_share(index, len(vms))
            self._routers[vm] = router
        for runner in self._site.runners[domain]:
            self._slots[ids.RunnerId(runner.name)] = runner.slots
            self._used_slots[ids.RunnerId(runner.name)] = 0

    def _schedule(self, at_ms: int, action: Callable[[int], None]) -> None:
        heapq.heappush(self._heap, (at_ms, next(self._sequence), action))

    def _send_heartbeats(self, now_ms: int) -> None:
        for vms in self._site.vms.values():
            for vm, peer in itertools.permutations(vms, 2):
                self._send_heartbeat(vm, peer, now_ms)
        if now_ms < self._last_arrival_ms:
            self._schedule(now_ms + HEARTBEAT_MS, self._send_heartbeats)

    def _send_heartbeat(
        self, vm: ids.VmId, peer: ids.VmId, now_ms: int
    ) -> None:
        free = self._routers[vm].free_slots()
        self._schedule(
            now_ms + LINK_DELAY_MS,
            lambda _: self._routers[peer].set_peer_free_slots(vm, free),
        )

    def _make_arrival(
        self, request: request_workload.TracedRequest
    ) -> Callable[[int], None]:
        def action(now_ms: int) -> None:
            spec = _spec(request)
            refusal = self._routers[request.vm].submit(spec, now_ms)
            if refusal is not None:
                self._record_outcome(request, refusal, now_ms)
            self._decide(request.vm, now_ms)

        return action

    def _decide(self, vm: ids.VmId, now_ms: int) -> None:
        router = self._routers[vm]
        for decision in router.decide(now_ms):
            if isinstance(decision, request_decisions.Send):
                self._send(vm, decision, now_ms)
            elif isinstance(decision, request_decisions.Offer):
                self._offer(vm, decision, now_ms)
            else:
                self._finish(vm, decision.result, now_ms)
        wake_ms = router.next_wake_ms()
        if wake_ms is not None and wake_ms != self._wake_times_ms.get(vm):
            self._wake_times_ms[vm] = wake_ms
            self._schedule(max(wake_ms, now_ms + 1), self._make_wake(vm))

    def _make_wake(self, vm: ids.VmId) -> Callable[[int], None]:
        return lambda now_ms: self._decide(vm, now_ms)

    def _send(
        self, vm: ids.VmId, send: request_decisions.Send, now_ms: int
    ) -> None:
        self.sends += 1
        self.hedges += send.hedge
        self._first_send_ms.setdefault(send.request, now_ms)

        def arrive(at_ms: int) -> None:
            if self._used_slots[send.runner] >= self._slots[send.runner]:
                self.busy_answers += 1
                outcome = messages.RunnerOutcome.BUSY
                self._answer_router(vm, send, outcome, at_ms)
                return
            self._used_slots[send.runner] += 1
            request = self._trace[send.request]
            took_ms = _service_ms(request, send.runner, self._slow)
            self._schedule(at_ms + took_ms, finish)

        def finish(at_ms: int) -> None:
            self._used_slots[send.runner] -= 1
            self._answer_router(vm, send, messages.RunnerOutcome.DONE, at_ms)

        self._schedule(now_ms + LINK_DELAY_MS, arrive)

    def _answer_router(
        self,
        vm: ids.VmId,
        send: request_decisions.Send,
        outcome: messages.RunnerOutcome,
        now_ms: int,
    ) -> None:
        answer = messages.RunnerAnswer(request=send.request, outcome=outcome)

        def receive(at_ms: int) -> None:
            self._routers[vm].record_answer(
                send.request,
                send.runner,
                answer,
                True,
                at_ms,
                attempt=send.attempt,
            )
            self._decide(vm, at_ms)

        self._schedule(now_ms + LINK_DELAY_MS, receive)

    def _offer(
        self, vm: ids.VmId, offer: request_decisions.Offer, now_ms: int
    ) -> None:
        self.offers += 1

        def arrive(at_ms: int) -> None:
            spec = msgspec.structs.replace(
                _spec(self._trace[offer.request]), timeout_ms=offer.timeout_ms
            )
            peer = self._routers[offer.vm]
            refusal = peer.submit(spec, at_ms, offered=True)
            if refusal is not None:
                self.offers_refused += 1
                self._answer_peer(vm, refusal, at_ms)
                return
            self._offering_vms[offer.request] = vm
            self._decide(offer.vm, at_ms)

        self._schedule(now_ms + LINK_DELAY_MS, arrive)

    def _answer_peer(
        self, vm: ids.VmId, result: jobs.RequestResult, now_ms: int
    ) -> None:
        def receive(at_ms: int) -> None:
            router = self._routers[vm]
            router.record_peer_answer(result.request, result, at_ms)
            self._decide(vm, at_ms)

        self._schedule(now_ms + LINK_DELAY_MS, receive)

    def _finish(
        self, vm: ids.VmId, result: jobs.RequestResult, now_ms: int
    ) -> None:
        offering_vm = self._offering_vms.pop(result.request, None)
        if offering_vm is not None and offering_vm != vm:
            self._answer_peer(offering_vm, result, now_ms)
            return
        self._record_outcome(self._trace[result.request], result, now_ms)

    def _record_outcome(
        self,
        request: request_workload.TracedRequest,
        result: jobs.RequestResult,
        now_ms: int,
    ) -> None:
        sent_ms = self._first_send_ms.get(request.request, now_ms)
        self._outcomes[request.request] = RequestOutcome(
            request=request,
            result=result,
            took_ms=now_ms - request.arrival_ms + 2 * LINK_DELAY_MS,
            waited_ms=sent_ms - request.arrival_ms,
        )


def _spec(request: request_workload.TracedRequest) -> jobs.RequestSpec:
    return jobs.RequestSpec(
        request=request.request,
        account=request.account,
        timeout_ms=TIMEOUT_MS,
        idempotent=request.idempotent,
    )
