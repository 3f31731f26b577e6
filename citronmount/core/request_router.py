"""Router for the short requests that one VM receives.

Requests are queued at the VM, never at a runner, so that a queued request can
still be cancelled, offered to a peer or refused with the guarantee that it did
not run. Sparrow (Ousterhout et al., SOSP 2013) calls this late binding.
"""

import heapq
import zlib

import msgspec

from citronmount.clients import messages
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import request_admission
from citronmount.core import request_attempts
from citronmount.core import request_decisions
from citronmount.core import request_hedging
from citronmount.core import request_peers
from citronmount.core import request_queue
from citronmount.core import request_slots
from citronmount.core import states

__all__ = ["RequestRouter"]

RETRY_SHARE = 0.1
RETRY_BURST = 10.0
HEDGE_SHARE = 0.05
HEDGE_BURST = 5.0
HEDGE_RETRY_MS = 50
MAX_SENDS = 8
MAX_RUNS = 3
MAX_OFFERS = 8
DEADLINE_HEAP_SLACK = 1_024


class _LiveRequest(msgspec.Struct, kw_only=True):
    """Request whose caller still waits for an answer.

    Attributes:
        spec: Request.
        arrived_ms: Monotonic time of arrival.
        deadline_ms: Monotonic time of the caller's timeout.
        from_peer: Whether a peer offered the request.
        sends: Number of attempts made.
        failed_runs: Number of attempts and offers that may have run and did
            not succeed.
        may_have_run: Whether an ended attempt or offer may have run it.
        runners: Runners to which the request was sent.
        active: Number of attempts in flight.
        offers: Number of offers made to peers.
        offered_to: Peer that has not answered the last offer yet.
    """

    spec: jobs.RequestSpec
    arrived_ms: int
    deadline_ms: int
    from_peer: bool
    sends: int = 0
    failed_runs: int = 0
    may_have_run: bool = False
    runners: frozenset[ids.RunnerId] = frozenset()
    active: int = 0
    offers: int = 0
    offered_to: ids.VmId | None = None


class RequestRouter:
    """Decides where and when the short requests at one VM are sent.

    The router does no I/O and reads no clock. A request is live from `submit`
    until its `Finish` or `cancel`. An attempt holds its slot until
    `record_answer`, even if the caller has been answered before.
    """

    def __init__(
        self, *, vm: ids.VmId, hedge_share: float = HEDGE_SHARE
    ) -> None:
        """Initializes a router without runners.

        Args:
            vm: VM of the router; its id seeds the random choice of runners.
            hedge_share: Number of hedges allowed per request; 0 disables
                hedging.
        """
        self._slots = request_slots.RunnerSlots(seed=zlib.crc32(vm.encode()))
        self._queue = request_queue.FairQueue(
            max_queued=request_admission.MAX_QUEUED_PER_ACCOUNT
        )
        self._limits = request_admission.AccountLimits(queue=self._queue)
        self._peers = request_peers.PeerSlotTable()
        self._live: dict[ids.RequestId, _LiveRequest] = {}
        self._attempts = request_attempts.AttemptTable()
        self._deadlines: list[tuple[int, ids.RequestId]] = []
        self._hedge_times: list[tuple[int, ids.RequestId]] = []
        self._finished: list[jobs.RequestResult] = []
        self._hedge_delays: dict[ids.AccountId, request_hedging.HedgeDelay] = {}
        self._retry_budget = request_hedging.RetryBudget(
            share=RETRY_SHARE, burst=RETRY_BURST
        )
        self._hedge_budget = request_hedging.RetryBudget(
            share=hedge_share, burst=HEDGE_BURST if hedge_share else 0.0
        )
        self._now_ms = 0
        self._in_service = True

    def set_runners(self, runners: tuple[messages.ListedTarget, ...]) -> None:
        """Replaces the list of runners of the failure domain.

        Args:
            runners: Runners with their slots and connections.
        """
        self._slots.set_runners(runners)

    def set_runner_state(
        self, runner: ids.RunnerId, state: states.TargetState
    ) -> None:
        """Sets the state of a runner.

        Args:
            runner: Runner.
            state: State; requests are sent only to a runner that is UP.
        """
        self._slots.set_state(runner, state)

    def set_in_service(self, in_service: bool) -> None:
        """Sets whether the failure domain is in service.

        While it is out of service, nothing is sent. The next `decide` ends the
        queued requests; attempts in flight may complete.

        Args:
            in_service: Whether requests may be sent.
        """
        self._in_service = in_service

    def set_share(self, index: int, count: int) -> None:
        """Sets the share of every runner's slots that this VM may use.

        Args:
            index: Index of this VM among the live VMs, from 0.
            count: Number of live VMs in the failure domain.
        """
        self._slots.set_share(index, count)

    def set_account_class(
        self, account: ids.AccountId, account_class: states.AccountClass
    ) -> None:
        """Sets the class of an account.

        Args:
            account: Client account.
            account_class: Class; accounts without one count as paying.
        """
        self._queue.set_account_class(account, account_class)

    def set_peer_free_slots(self, vm: ids.VmId, free: int) -> None:
        """Sets the number of free slots of a peer of the failure domain.

        Args:
            vm: Peer.
            free: Number of free slots.
        """
        self._peers.update_free_slots(vm, free, self._now_ms)

    def submit(
        self, spec: jobs.RequestSpec, now_ms: int, *, offered: bool = False
    ) -> jobs.RequestResult | None:
        """Accepts or refuses a new request.

        Args:
            spec: Request.
            now_ms: Monotonic time.
            offered: Whether a peer offers the request. It is then accepted
                only if a slot is free for it now, and is not offered again.

        Returns:
            None if the request is accepted, otherwise a refusal. A refusal
            guarantees that the request did not run, and leaves no state.
        """
        self._now_ms = now_ms
        refusal = self._check_admission(spec, now_ms, offered=offered)
        if refusal is not None:
            return refusal
        live = _LiveRequest(
            spec=spec,
            arrived_ms=now_ms,
            deadline_ms=now_ms + spec.timeout_ms,
            from_peer=offered,
        )
        self._live[spec.request] = live
        self._queue.push(spec.request, spec.account)
        heapq.heappush(self._deadlines, (live.deadline_ms, spec.request))
        self._compact_deadlines()
        return None

    def decide(self, now_ms: int) -> list[request_decisions.RequestDecision]:
        """Makes all decisions that are due.

        Args:
            now_ms: Monotonic time.

        Returns:
            Decisions in the order in which to carry them out.
        """
        self._now_ms = now_ms
        self._expire(now_ms)
        if not self._in_service:
            self._finish_queued()
        decisions: list[request_decisions.RequestDecision] = []
        decisions.extend(self._dispatch_queued(now_ms))
        decisions.extend(self._offer_to_peers(now_ms))
        decisions.extend(self._send_hedges(now_ms))
        finished, self._finished = self._finished, []
        decisions.extend(request_decisions.Finish(result=r) for r in finished)
        return decisions

    def record_answer(
        self,
        request: ids.RequestId,
        runner: ids.RunnerId,
        answer: messages.RunnerAnswer | None,
        sent: bool,
        now_ms: int,
        *,
        attempt: int | None = None,
    ) -> None:
        """Records the outcome of an attempt.

        A late answer only updates the state of the runner; a duplicate answer
        is ignored.

        Args:
            request: Request id.
            runner: Runner.
            answer: Answer of the runner, or None if there was none.
            sent: Whether the request may have reached the runner.
            now_ms: Monotonic time.
            attempt: Number of the attempt. If None, the oldest attempt of the
                request in flight at the runner is meant.
        """
        self._now_ms = now_ms
        ended = self._attempts.remove(request, runner, attempt)
        if ended is None:
            return
        self._slots.release(runner)
        # An answer to another request proves nothing about this one.
        if answer is not None and answer.request != request:
            answer = None
            sent = True
        self._update_runner(ended, answer, sent, now_ms)
        live = self._live.get(request)
        if live is None:
            return
        live.active -= 1
        if answer is None:
            self._handle_lost_answer(live, ended, sent)
        elif answer.outcome is messages.RunnerOutcome.DONE:
            self._finish(live, codes.ResultCode.DONE, payload=answer.payload)
        elif answer.outcome is messages.RunnerOutcome.FAILED:
            self._handle_failed_run(live, ended, answer.payload)
        else:
            self._handle_not_run(live, ended)

    def record_peer_answer(
        self,
        request: ids.RequestId,
        result: jobs.RequestResult | None,
        now_ms: int,
        *,
        sent: bool = True,
    ) -> None:
        """Records the outcome of an offered request.

        Args:
            request: Request id.
            result: Final answer of the peer, or None if there was none.
            now_ms: Monotonic time.
            sent: Whether the offer may have reached the peer.
        """
        self._now_ms = now_ms
        live = self._live.get(request)
        if live is None or live.offered_to is None:
            return
        vm = live.offered_to
        live.offered_to = None
        if result is None:
            self._peers.forget(vm)
            self._handle_lost_offer(live, sent)
            return
        info = codes.info(result.code)
        if info.proves_not_run and info.retry:
            self._peers.record_refusal(vm, now_ms)
            self._queue.push_front(request, live.spec.account)
            return
        self._peers.record_served(vm)
        self._complete(live, result)

    def cancel(self, request: ids.RequestId) -> bool:
        """Removes a request whose caller no longer waits.

        No `Finish` follows. An attempt in flight is not stopped.

        Args:
            request: Request id.

        Returns:
            Whether the request certainly did not run.
        """
        live = self._live.pop(request, None)
        if live is None:
            return False
        self._queue.remove(request)
        return not self._may_run_or_have_run(live)

    def free_slots(self) -> int:
        """Returns the number of requests that could be sent now."""
        if not self._in_service:
            return 0
        return self._slots.free_slots(self._now_ms)

    def queued_count(self) -> int:
        """Returns the number of requests that are queued for a slot."""
        return len(self._queue)

    def outstanding_count(self) -> int:
        """Returns the number of attempts that hold a slot."""
        return self._attempts.count

    def next_wake_ms(self) -> int | None:
        """Returns when to call `decide` if no other event happens before.

        Returns:
            Monotonic time, or None if no decision is pending.
        """
        due = [
            heap[0][0] for heap in (self._deadlines, self._hedge_times) if heap
        ]
        if self._queue.peek() is not None:
            available_ms = self._slots.next_available_ms(self._now_ms)
            due.extend([] if available_ms is None else [available_ms])
        return min(due, default=None)

    def _check_admission(
        self, spec: jobs.RequestSpec, now_ms: int, *, offered: bool
    ) -> jobs.RequestResult | None:
        if spec.request in self._live or spec.request in self._attempts:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.INVALID_REQUEST,
                detail="another request with this id is in progress",
            )
        if offered:
            if self.free_slots() > len(self._queue):
                return None
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.NO_SLOT,
                retry_after_ms=request_admission.RETRY_AFTER_MIN_MS,
            )
        if not self._in_service:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.FAILURE_DOMAIN_OUT,
                retry_after_ms=request_admission.RETRY_AFTER_MAX_MS,
            )
        return self._limits.check(spec, now_ms, self._attempts.count)

    def _hedge_delay(
        self, account: ids.AccountId
    ) -> request_hedging.HedgeDelay:
        if account not in self._hedge_delays:
            self._hedge_delays[account] = request_hedging.HedgeDelay()
        return self._hedge_delays[account]

    def _expire(self, now_ms: int) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            deadline_ms, request = heapq.heappop(self._deadlines)
            live = self._live.get(request)
            if live is not None and live.deadline_ms == deadline_ms:
                self._queue.remove(request)
                self._finish(live, self._timeout_code(live))

    def _finish_queued(self) -> None:
        while (request := self._queue.pop()) is not None:
            live = self._live[request]
            code = codes.ResultCode.FAILURE_DOMAIN_OUT
            if self._may_run_or_have_run(live):
                code = self._timeout_code(live)
            self._finish(live, code)

    def _compact_deadlines(self) -> None:
        if len(self._deadlines) <= 2 * len(self._live) + DEADLINE_HEAP_SLACK:
            return
        self._deadlines = [
            entry for entry in self._deadlines if entry[1] in self._live
        ]
        heapq.heapify(self._deadlines)

    def _timeout_code(self, live: _LiveRequest) -> codes.ResultCode:
        if not self._may_run_or_have_run(live):
            return codes.ResultCode.NO_SLOT
        if live.spec.idempotent:
            return codes.ResultCode.TIMED_OUT
        return codes.ResultCode.OUTCOME_UNKNOWN

    def _may_run_or_have_run(self, live: _LiveRequest) -> bool:
        """Returns whether the request may have run or may be running now."""
        return bool(
            live.may_have_run or live.active or live.offered_to is not None
        )

    def _dispatch_queued(self, now_ms: int) -> list[request_decisions.Send]:
        sends = []
        while (request := self._queue.peek()) is not None:
            live = self._live[request]
            runner = self._choose_runner(live, now_ms)
            if runner is None:
                break
            self._queue.pop()
            if not live.sends:
                self._retry_budget.deposit()
                self._hedge_budget.deposit()
            sends.append(self._send(live, runner, now_ms))
        return sends

    def _choose_runner(
        self, live: _LiveRequest, now_ms: int
    ) -> ids.RunnerId | None:
        prefer_healthy = not live.spec.idempotent
        untried = self._slots.choose(
            now_ms, exclude=live.runners, prefer_healthy=prefer_healthy
        )
        if untried is not None or not live.runners:
            return untried
        return self._slots.choose(now_ms, prefer_healthy=prefer_healthy)

    def _send(
        self, live: _LiveRequest, runner: ids.RunnerId, now_ms: int
    ) -> request_decisions.Send:
        live.sends += 1
        live.active += 1
        live.runners |= {runner}
        spec = live.spec
        self._slots.acquire(runner)
        self._attempts.add(
            request_attempts.Attempt(
                request=spec.request,
                runner=runner,
                account=spec.account,
                number=live.sends,
                sent_ms=now_ms,
            )
        )
        delay_ms = self._hedge_delay(spec.account).delay_ms
        if spec.idempotent and live.sends == 1 and delay_ms is not None:
            heapq.heappush(self._hedge_times, (now_ms + delay_ms, spec.request))
        return request_decisions.Send(
            request=spec.request,
            runner=runner,
            attempt=live.sends,
            hedge=live.active > 1,
            timeout_ms=live.deadline_ms - now_ms,
        )

    def _send_hedges(self, now_ms: int) -> list[request_decisions.Send]:
        sends = []
        while self._hedge_times and self._hedge_times[0][0] <= now_ms:
            _, request = heapq.heappop(self._hedge_times)
            live = self._live.get(request)
            if live is None or live.active != 1 or live.sends != 1:
                continue
            send = self._try_hedge(live, now_ms)
            if send is not None:
                sends.append(send)
                continue
            delay_ms = self._hedge_delay(live.spec.account).delay_ms
            due_ms = now_ms + (delay_ms or HEDGE_RETRY_MS)
            heapq.heappush(self._hedge_times, (due_ms, request))
        return sends

    def _try_hedge(
        self, live: _LiveRequest, now_ms: int
    ) -> request_decisions.Send | None:
        if not self._in_service or len(self._queue):
            return None
        if not self._slots.has_hedge_capacity(now_ms):
            return None
        runner = self._slots.choose(
            now_ms, exclude=live.runners, prefer_healthy=True
        )
        if runner is None or not self._hedge_budget.try_withdraw():
            return None
        return self._send(live, runner, now_ms)

    def _offer_to_peers(self, now_ms: int) -> list[request_decisions.Offer]:
        offers = []
        while (request := self._queue.peek()) is not None:
            live = self._live[request]
            if live.from_peer or live.sends or live.offers >= MAX_OFFERS:
                break
            vm = self._peers.choose(now_ms)
            if vm is None:
                break
            self._queue.pop()
            live.offers += 1
            live.offered_to = vm
            self._peers.record_offer(vm)
            offers.append(
                request_decisions.Offer(
                    request=request,
                    vm=vm,
                    timeout_ms=live.deadline_ms - now_ms,
                )
            )
        return offers

    def _update_runner(
        self,
        attempt: request_attempts.Attempt,
        answer: messages.RunnerAnswer | None,
        sent: bool,
        now_ms: int,
    ) -> None:
        if answer is None and not sent:
            self._slots.record_unreachable(attempt.runner, now_ms)
        elif answer is None or (
            answer.outcome is messages.RunnerOutcome.FAILED
        ):
            self._slots.record_failure(attempt.runner, attempt.account, now_ms)
        elif answer.outcome is messages.RunnerOutcome.DONE:
            self._slots.record_success(attempt.runner)
            self._queue.observe(attempt.account, now_ms - attempt.sent_ms)
            self._hedge_delay(attempt.account).observe(now_ms - attempt.sent_ms)
        elif answer.outcome is messages.RunnerOutcome.BUSY:
            self._slots.record_busy(attempt.runner, now_ms)
        else:
            self._slots.record_leaving(attempt.runner, now_ms)

    def _handle_not_run(
        self, live: _LiveRequest, attempt: request_attempts.Attempt
    ) -> None:
        if live.active:
            return
        if live.sends >= MAX_SENDS:
            code = codes.ResultCode.TARGET_REFUSED
            if live.may_have_run:
                code = codes.ResultCode.OUTCOME_UNKNOWN
            self._finish(live, code)
            return
        self._queue.push_front(attempt.request, attempt.account)

    def _handle_lost_answer(
        self, live: _LiveRequest, attempt: request_attempts.Attempt, sent: bool
    ) -> None:
        if not sent:
            self._handle_not_run(live, attempt)
            return
        live.may_have_run = True
        live.failed_runs += 1
        if live.active:
            return
        if self._try_take_retry(live):
            self._queue.push_front(attempt.request, attempt.account)
        else:
            self._finish(live, codes.ResultCode.OUTCOME_UNKNOWN)

    def _handle_failed_run(
        self,
        live: _LiveRequest,
        attempt: request_attempts.Attempt,
        payload: str,
    ) -> None:
        live.may_have_run = True
        live.failed_runs += 1
        if live.active:
            return
        if live.failed_runs < MAX_RUNS - 1 and self._try_take_retry(live):
            self._queue.push_front(attempt.request, attempt.account)
        else:
            self._finish(live, codes.ResultCode.FAILED_BY_JOB, payload=payload)

    def _handle_lost_offer(self, live: _LiveRequest, sent: bool) -> None:
        if sent:
            live.may_have_run = True
            live.failed_runs += 1
        if not sent or self._try_take_retry(live):
            self._queue.push_front(live.spec.request, live.spec.account)
        else:
            self._finish(live, codes.ResultCode.OUTCOME_UNKNOWN)

    def _try_take_retry(self, live: _LiveRequest) -> bool:
        return (
            live.spec.idempotent
            and live.failed_runs < MAX_RUNS
            and self._retry_budget.try_withdraw()
        )

    def _finish(
        self, live: _LiveRequest, code: codes.ResultCode, *, payload: str = ""
    ) -> None:
        not_run = codes.info(code).proves_not_run
        result = jobs.RequestResult(
            request=live.spec.request,
            code=code,
            payload=payload,
            retry_after_ms=(
                self._limits.queue_drain_ms(
                    live.spec.account, self._attempts.count
                )
                if not_run
                else None
            ),
        )
        self._complete(live, result)

    def _complete(self, live: _LiveRequest, result: jobs.RequestResult) -> None:
        del self._live[live.spec.request]
        self._finished.append(result)
