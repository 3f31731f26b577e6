"""The router of short requests at one VM.

Requests wait at the VM, never at a runner, so that a queued request can still
be cancelled, offered to a peer or refused with the proof that it was not run;
Sparrow (Ousterhout et al., SOSP 2013) calls this late binding.
"""

import heapq
import math
import zlib

import msgspec

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import request_decisions
from citronmount.core import request_hedging
from citronmount.core import request_peers
from citronmount.core import request_queue
from citronmount.core import request_slots
from citronmount.core import states
from citronmount.services import messages

__all__ = ["RequestRouter"]

QUEUE_BOUND = 256
RATE_PER_S = 1_000.0
RATE_BURST = 500.0
RETRY_SHARE = 0.1
RETRY_BURST = 10.0
HEDGE_SHARE = 0.05
HEDGE_BURST = 5.0
HEDGE_AGAIN_MS = 50
MAX_UNSENT_ATTEMPTS = 8
MAX_RUNS = 3
MAX_OFFERS = 8
DEADLINES_KEPT = 1_024
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 5_000


class _Attempt(msgspec.Struct, kw_only=True):
    """One send of a request that holds a slot until it is answered."""

    request: ids.RequestId
    runner: ids.RunnerId
    account: ids.AccountId
    number: int
    sent_ms: int


class _Live(msgspec.Struct, kw_only=True):
    """A request that the caller still waits for."""

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
    """Decides for the short requests that callers send to one VM.

    It does no input or output and reads no clock. A request is live from
    `submit` until its `Finish` or `cancel`; an attempt holds its slot until
    `answered`, also when the caller has had an answer before.
    """

    def __init__(
        self, *, vm: ids.VmId, hedge_share: float = HEDGE_SHARE
    ) -> None:
        """Initializes a router without runners.

        Args:
            vm: The VM, which seeds the choice between runners.
            hedge_share: Hedges allowed for each request; 0 for none.
        """
        self._slots = request_slots.RunnerSlots(seed=zlib.crc32(vm.encode()))
        self._queue = request_queue.FairQueue(max_waiting=QUEUE_BOUND)
        self._peers = request_peers.PeerSlotTable()
        self._live: dict[ids.RequestId, _Live] = {}
        self._attempts: dict[ids.RequestId, list[_Attempt]] = {}
        self._outstanding = 0
        self._deadlines: list[tuple[int, ids.RequestId]] = []
        self._hedges: list[tuple[int, ids.RequestId]] = []
        self._finished: list[jobs.RequestResult] = []
        self._rates: dict[ids.AccountId, request_hedging.TokenBucket] = {}
        self._delays: dict[ids.AccountId, request_hedging.HedgeDelay] = {}
        self._retry_budget = request_hedging.RetryBudget(
            share=RETRY_SHARE, burst=RETRY_BURST
        )
        self._hedge_budget = request_hedging.RetryBudget(
            share=hedge_share, burst=HEDGE_BURST if hedge_share else 0.0
        )
        self._now_ms = 0
        self._in_service = True

    def set_runners(self, runners: tuple[messages.ListedTarget, ...]) -> None:
        """Takes over the list of runners of the failure domain.

        Args:
            runners: The runners, with slots and connections.
        """
        self._slots.set_runners(runners)

    def set_runner_state(
        self, runner: ids.RunnerId, state: states.TargetState
    ) -> None:
        """Notes whether a runner may get new requests.

        Args:
            runner: The runner.
            state: Only UP lets requests be sent.
        """
        self._slots.set_state(runner, state)

    def set_in_service(self, in_service: bool) -> None:
        """Notes whether the failure domain is in service.

        Out of service nothing is sent any more; the next `decide` ends the
        requests that wait, and sends in flight are finished.

        Args:
            in_service: Whether requests may start.
        """
        self._in_service = in_service

    def set_share(self, index: int, count: int) -> None:
        """Notes which share of every runner this VM may use.

        Args:
            index: The number of this VM among the live ones, from 0.
            count: How many live VMs the failure domain has.
        """
        self._slots.set_share(index, count)

    def set_account_class(
        self, account: ids.AccountId, account_class: states.AccountClass
    ) -> None:
        """Notes whether an account pays or tries.

        Args:
            account: The account.
            account_class: Its class; accounts not noted count as paying.
        """
        self._queue.set_account_class(account, account_class)

    def set_peer_free_slots(self, vm: ids.VmId, free: int) -> None:
        """Notes how many slots a peer of the failure domain has free.

        Args:
            vm: The peer.
            free: Its free slots.
        """
        self._peers.update_free_slots(vm, free, self._now_ms)

    def submit(
        self, spec: jobs.RequestSpec, now_ms: int, *, offered: bool = False
    ) -> jobs.RequestResult | None:
        """Takes a new request or refuses it.

        Args:
            spec: The request.
            now_ms: Monotonic time.
            offered: Whether a peer offers it; it is then taken only if a
                slot is free for it now, and never offered on.

        Returns:
            None if it is taken; otherwise a refusal, which proves that it
            was not run and changes nothing.
        """
        self._now_ms = now_ms
        refusal = self._refusal(spec, now_ms, offered=offered)
        if refusal is not None:
            return refusal
        live = _Live(
            spec=spec,
            arrived_ms=now_ms,
            deadline_ms=now_ms + spec.timeout_ms,
            from_peer=offered,
        )
        self._live[spec.request] = live
        self._queue.push(spec.request, spec.account)
        heapq.heappush(self._deadlines, (live.deadline_ms, spec.request))
        self._drop_old_deadlines()
        return None

    def decide(self, now_ms: int) -> list[request_decisions.RequestDecision]:
        """Returns what to do now.

        Args:
            now_ms: Monotonic time.

        Returns:
            The decisions, in the order in which to carry them out.
        """
        self._now_ms = now_ms
        self._expire(now_ms)
        if not self._in_service:
            self._end_queued()
        out: list[request_decisions.RequestDecision] = []
        out.extend(self._dispatch(now_ms))
        out.extend(self._offer(now_ms))
        out.extend(self._hedge(now_ms))
        finished, self._finished = self._finished, []
        out.extend(request_decisions.Finish(result=r) for r in finished)
        return out

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
        """Notes what became of a send.

        Late and doubled answers change nothing but the state of the runner.

        Args:
            request: The request.
            runner: The runner.
            answer: Its answer, or None if there was none.
            sent: Whether the request may have reached the runner.
            now_ms: Monotonic time.
            attempt: The number of the send; the oldest open one of the
                request at the runner if it is not known.
        """
        self._now_ms = now_ms
        held = self._end_attempt(request, runner, attempt)
        if held is None:
            return
        if answer is not None and answer.request != request:
            answer = None
            sent = True
        self._note_runner(held, answer, sent, now_ms)
        live = self._live.get(request)
        if live is None:
            return
        live.active -= 1
        if answer is None:
            self._lost(live, held, sent)
        elif answer.outcome is messages.RunnerOutcome.DONE:
            self._finish(live, codes.ResultCode.DONE, payload=answer.payload)
        elif answer.outcome is messages.RunnerOutcome.FAILED:
            self._failed(live, held, answer.payload)
        else:
            self._not_run(live, held)

    def record_peer_answer(
        self,
        request: ids.RequestId,
        result: jobs.RequestResult | None,
        now_ms: int,
        *,
        sent: bool = True,
    ) -> None:
        """Notes what became of an offered request.

        Args:
            request: The request.
            result: The peer's final answer, or None if there was none.
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
            self._peers.remove(vm)
            self._peer_lost(live, sent)
            return
        info = codes.info(result.code)
        if info.proves_not_run and info.retry:
            self._peers.record_refusal(vm, now_ms)
            self._queue.push_front(request, live.spec.account)
            return
        self._peers.record_served(vm)
        self._close(live, result)

    def cancel(self, request: ids.RequestId) -> bool:
        """Forgets a request whose caller has left.

        No `Finish` follows. A send that is in flight is not stopped.

        Args:
            request: The request.

        Returns:
            Whether it is proved that the request was not run.
        """
        live = self._live.pop(request, None)
        if live is None:
            return False
        self._queue.remove(request)
        return not self._in_doubt(live)

    def free_slots(self) -> int:
        """Returns how many more requests could be sent now."""
        if not self._in_service:
            return 0
        return self._slots.free(self._now_ms)

    def queued_count(self) -> int:
        """Returns how many requests wait for a slot."""
        return len(self._queue)

    def outstanding_count(self) -> int:
        """Returns how many sends hold a slot."""
        return self._outstanding

    def next_wake_ms(self) -> int | None:
        """Returns when `decide` should be called if nothing else happens.

        Returns:
            Monotonic time, or None if nothing is due.
        """
        due = [heap[0][0] for heap in (self._deadlines, self._hedges) if heap]
        if self._queue.peek() is not None:
            opens_ms = self._slots.next_open_ms(self._now_ms)
            due.extend([] if opens_ms is None else [opens_ms])
        return min(due, default=None)

    def _refusal(
        self, spec: jobs.RequestSpec, now_ms: int, *, offered: bool
    ) -> jobs.RequestResult | None:
        if spec.request in self._live or spec.request in self._attempts:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.INVALID_REQUEST,
                detail="the request id is in use",
            )
        if offered:
            if self.free_slots() > len(self._queue):
                return None
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.NO_SLOT,
                retry_after_ms=RETRY_AFTER_MIN_MS,
            )
        if not self._in_service:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.FAILURE_DOMAIN_OUT,
                retry_after_ms=RETRY_AFTER_MAX_MS,
            )
        if self._queue.waiting_count(spec.account) >= QUEUE_BOUND:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.QUEUE_FULL,
                retry_after_ms=self._drain_ms(spec.account),
            )
        wait_ms = self._rate(spec.account).try_take(now_ms)
        if wait_ms:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.RATE_LIMITED,
                retry_after_ms=wait_ms,
            )
        return None

    def _rate(self, account: ids.AccountId) -> request_hedging.TokenBucket:
        if account not in self._rates:
            self._rates[account] = request_hedging.TokenBucket(
                rate_per_s=RATE_PER_S, burst=RATE_BURST
            )
        return self._rates[account]

    def _delay(self, account: ids.AccountId) -> request_hedging.HedgeDelay:
        if account not in self._delays:
            self._delays[account] = request_hedging.HedgeDelay()
        return self._delays[account]

    def _drain_ms(self, account: ids.AccountId) -> int:
        work_ms = self._queue.waiting_count(account) * self._queue.cost_ms(
            account
        )
        drain_ms = math.ceil(work_ms / max(1, self._outstanding))
        return min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, drain_ms))

    def _expire(self, now_ms: int) -> None:
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            deadline_ms, request = heapq.heappop(self._deadlines)
            live = self._live.get(request)
            if live is not None and live.deadline_ms == deadline_ms:
                self._queue.remove(request)
                self._finish(live, self._timeout_code(live))

    def _end_queued(self) -> None:
        while (request := self._queue.pop()) is not None:
            live = self._live[request]
            code = codes.ResultCode.FAILURE_DOMAIN_OUT
            if self._in_doubt(live):
                code = self._timeout_code(live)
            self._finish(live, code)

    def _drop_old_deadlines(self) -> None:
        if len(self._deadlines) <= 2 * len(self._live) + DEADLINES_KEPT:
            return
        self._deadlines = [
            entry for entry in self._deadlines if entry[1] in self._live
        ]
        heapq.heapify(self._deadlines)

    def _timeout_code(self, live: _Live) -> codes.ResultCode:
        if not self._in_doubt(live):
            return codes.ResultCode.NO_SLOT
        if live.spec.idempotent:
            return codes.ResultCode.TIMED_OUT
        return codes.ResultCode.OUTCOME_UNKNOWN

    def _in_doubt(self, live: _Live) -> bool:
        return bool(
            live.may_have_run or live.active or live.offered_to is not None
        )

    def _dispatch(self, now_ms: int) -> list[request_decisions.Send]:
        sends = []
        while (request := self._queue.peek()) is not None:
            live = self._live[request]
            runner = self._choose(live, now_ms)
            if runner is None:
                break
            self._queue.pop()
            if not live.sends:
                self._retry_budget.deposit()
                self._hedge_budget.deposit()
            sends.append(self._send(live, runner, now_ms))
        return sends

    def _choose(self, live: _Live, now_ms: int) -> ids.RunnerId | None:
        avoid_probe = not live.spec.idempotent
        fresh = self._slots.choose(
            now_ms, exclude=live.runners, avoid_probe=avoid_probe
        )
        if fresh is not None or not live.runners:
            return fresh
        return self._slots.choose(now_ms, avoid_probe=avoid_probe)

    def _send(
        self, live: _Live, runner: ids.RunnerId, now_ms: int
    ) -> request_decisions.Send:
        live.sends += 1
        live.active += 1
        live.runners |= {runner}
        spec = live.spec
        self._slots.take(runner)
        self._outstanding += 1
        self._attempts.setdefault(spec.request, []).append(
            _Attempt(
                request=spec.request,
                runner=runner,
                account=spec.account,
                number=live.sends,
                sent_ms=now_ms,
            )
        )
        delay_ms = self._delay(spec.account).delay_ms
        if spec.idempotent and live.sends == 1 and delay_ms is not None:
            heapq.heappush(self._hedges, (now_ms + delay_ms, spec.request))
        return request_decisions.Send(
            request=spec.request,
            runner=runner,
            attempt=live.sends,
            hedge=live.active > 1,
            timeout_ms=live.deadline_ms - now_ms,
        )

    def _hedge(self, now_ms: int) -> list[request_decisions.Send]:
        sends = []
        while self._hedges and self._hedges[0][0] <= now_ms:
            _, request = heapq.heappop(self._hedges)
            live = self._live.get(request)
            if live is None or live.active != 1 or live.sends != 1:
                continue
            send = self._try_hedge(live, now_ms)
            if send is not None:
                sends.append(send)
                continue
            delay_ms = self._delay(live.spec.account).delay_ms
            due_ms = now_ms + (delay_ms or HEDGE_AGAIN_MS)
            heapq.heappush(self._hedges, (due_ms, request))
        return sends

    def _try_hedge(
        self, live: _Live, now_ms: int
    ) -> request_decisions.Send | None:
        if not self._in_service or len(self._queue):
            return None
        if not self._slots.has_spare(now_ms):
            return None
        runner = self._slots.choose(
            now_ms, exclude=live.runners, avoid_probe=True
        )
        if runner is None or not self._hedge_budget.try_withdraw():
            return None
        return self._send(live, runner, now_ms)

    def _offer(self, now_ms: int) -> list[request_decisions.Offer]:
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

    def _end_attempt(
        self,
        request: ids.RequestId,
        runner: ids.RunnerId,
        number: int | None,
    ) -> _Attempt | None:
        open_attempts = self._attempts.get(request, [])
        held = next(
            (
                attempt
                for attempt in open_attempts
                if attempt.runner == runner and number in (None, attempt.number)
            ),
            None,
        )
        if held is None:
            return None
        open_attempts.remove(held)
        if not open_attempts:
            del self._attempts[request]
        self._outstanding -= 1
        self._slots.release(runner)
        return held

    def _note_runner(
        self,
        held: _Attempt,
        answer: messages.RunnerAnswer | None,
        sent: bool,
        now_ms: int,
    ) -> None:
        if answer is None and not sent:
            self._slots.unreachable(held.runner, now_ms)
        elif answer is None or (
            answer.outcome is messages.RunnerOutcome.FAILED
        ):
            self._slots.failed(held.runner, held.account, now_ms)
        elif answer.outcome is messages.RunnerOutcome.DONE:
            self._slots.succeeded(held.runner)
            self._queue.observe(held.account, now_ms - held.sent_ms)
            self._delay(held.account).observe(now_ms - held.sent_ms)
        elif answer.outcome is messages.RunnerOutcome.BUSY:
            self._slots.busy(held.runner, now_ms)
        else:
            self._slots.leaving(held.runner, now_ms)

    def _not_run(self, live: _Live, held: _Attempt) -> None:
        if live.active:
            return
        if live.sends >= MAX_UNSENT_ATTEMPTS:
            code = codes.ResultCode.TARGET_REFUSED
            if live.may_have_run:
                code = codes.ResultCode.OUTCOME_UNKNOWN
            self._finish(live, code)
            return
        self._queue.push_front(held.request, held.account)

    def _lost(self, live: _Live, held: _Attempt, sent: bool) -> None:
        if not sent:
            self._not_run(live, held)
            return
        live.may_have_run = True
        live.failed_runs += 1
        if live.active:
            return
        if self._may_run_again(live):
            self._queue.push_front(held.request, held.account)
        else:
            self._finish(live, codes.ResultCode.OUTCOME_UNKNOWN)

    def _failed(self, live: _Live, held: _Attempt, payload: str) -> None:
        live.may_have_run = True
        live.failed_runs += 1
        if live.active:
            return
        if live.failed_runs < MAX_RUNS - 1 and self._may_run_again(live):
            self._queue.push_front(held.request, held.account)
        else:
            self._finish(live, codes.ResultCode.FAILED_BY_JOB, payload=payload)

    def _peer_lost(self, live: _Live, sent: bool) -> None:
        if sent:
            live.may_have_run = True
            live.failed_runs += 1
        if not sent or self._may_run_again(live):
            self._queue.push_front(live.spec.request, live.spec.account)
        else:
            self._finish(live, codes.ResultCode.OUTCOME_UNKNOWN)

    def _may_run_again(self, live: _Live) -> bool:
        return (
            live.spec.idempotent
            and live.failed_runs < MAX_RUNS
            and self._retry_budget.try_withdraw()
        )

    def _finish(
        self, live: _Live, code: codes.ResultCode, *, payload: str = ""
    ) -> None:
        retry = codes.info(code).proves_not_run
        result = jobs.RequestResult(
            request=live.spec.request,
            code=code,
            payload=payload,
            retry_after_ms=(
                self._drain_ms(live.spec.account) if retry else None
            ),
        )
        self._close(live, result)

    def _close(self, live: _Live, result: jobs.RequestResult) -> None:
        del self._live[live.spec.request]
        self._finished.append(result)
