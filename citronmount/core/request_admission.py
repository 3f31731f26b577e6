"""Limits of each client account on the short requests at one VM."""

import math

from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import request_hedging
from citronmount.core import request_queue

__all__ = [
    "MAX_QUEUED_PER_ACCOUNT",
    "RETRY_AFTER_MAX_MS",
    "RETRY_AFTER_MIN_MS",
    "AccountLimits",
]

MAX_QUEUED_PER_ACCOUNT = 256
RATE_PER_S = 1_000.0
RATE_BURST = 500.0
RETRY_AFTER_MIN_MS = 50
RETRY_AFTER_MAX_MS = 5_000


class AccountLimits:
    """Refuses the requests of an account beyond its rate or its queue."""

    def __init__(self, *, queue: request_queue.FairQueue) -> None:
        """Initializes without accounts.

        Args:
            queue: The queue whose length is limited for each account.
        """
        self._queue = queue
        self._token_buckets: dict[
            ids.AccountId, request_hedging.TokenBucket
        ] = {}

    def check(
        self, spec: jobs.RequestSpec, now_ms: int, outstanding: int
    ) -> jobs.RequestResult | None:
        """Takes a token for a request, or refuses the request.

        Args:
            spec: Request.
            now_ms: Monotonic time.
            outstanding: Number of attempts in flight at the VM.

        Returns:
            None if the request is within the limits, otherwise a refusal.
        """
        if self._queue.queued_count(spec.account) >= MAX_QUEUED_PER_ACCOUNT:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.QUEUE_FULL,
                retry_after_ms=self.queue_drain_ms(spec.account, outstanding),
            )
        wait_ms = self._token_bucket(spec.account).try_take(now_ms)
        if wait_ms:
            return jobs.RequestResult(
                request=spec.request,
                code=codes.ResultCode.RATE_LIMITED,
                retry_after_ms=wait_ms,
            )
        return None

    def queue_drain_ms(self, account: ids.AccountId, outstanding: int) -> int:
        """Returns the estimated time until an account's queue is empty.

        Args:
            account: Client account.
            outstanding: Number of attempts in flight at the VM.

        Returns:
            Milliseconds between `RETRY_AFTER_MIN_MS` and `RETRY_AFTER_MAX_MS`.
        """
        work_ms = self._queue.queued_count(account) * self._queue.cost_ms(
            account
        )
        drain_ms = math.ceil(work_ms / max(1, outstanding))
        return min(RETRY_AFTER_MAX_MS, max(RETRY_AFTER_MIN_MS, drain_ms))

    def _token_bucket(
        self, account: ids.AccountId
    ) -> request_hedging.TokenBucket:
        if account not in self._token_buckets:
            self._token_buckets[account] = request_hedging.TokenBucket(
                rate_per_s=RATE_PER_S, burst=RATE_BURST
            )
        return self._token_buckets[account]
