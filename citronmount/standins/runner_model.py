"""In-memory stand-in for a runner, the target of short requests."""

import collections
from collections.abc import Callable
import json

from citronmount.clients import messages
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states
from citronmount.telemetry import timeline_events

__all__ = ["RunnerModel", "answer_payload", "service_ms"]

DEFAULT_SERVICE_MS = 20


def service_ms(spec: jobs.RequestSpec) -> int:
    """Returns the service time of a request in ms.

    Args:
        spec: The request; its payload may be a JSON object that sets
            ``service_ms``.

    Returns:
        The value from the payload, or `DEFAULT_SERVICE_MS`.
    """
    return int(
        _parse_payload(spec.payload).get("service_ms", DEFAULT_SERVICE_MS)
    )


def answer_payload(spec: jobs.RequestSpec) -> str:
    """Returns the complete payload of the answer to a request.

    Args:
        spec: The request.

    Returns:
        A text that is unique to the account, idempotency key and payload, so
        that an answer to another request can be recognized.
    """
    return f"{spec.account}:{spec.idempotency_key}:{spec.payload}"


class RunnerModel:
    """A runner with a fixed number of slots.

    It refuses requests when all slots are taken, instead of queueing them, and
    does not deduplicate requests.
    """

    def __init__(
        self,
        *,
        target: messages.ListedTarget,
        emit: Callable[[timeline_events.TimelineEvent], None] = lambda event: (
            None
        ),
        epoch_ms: int = 0,
    ) -> None:
        """Initializes an idle runner.

        Args:
            target: Entry of the runner in the platform's list.
            emit: Receives the timeline events.
            epoch_ms: Unix time in ms at which the runner's clock is zero.
        """
        self.target = target
        self.leaving = target.state is states.TargetState.LEAVING
        self._emit = emit
        self._epoch_ms = epoch_ms
        self._active_requests: dict[ids.RequestId, list[jobs.RequestSpec]] = (
            collections.defaultdict(list)
        )

    @property
    def busy_slots(self) -> int:
        """Number of requests in service."""
        return sum(len(specs) for specs in self._active_requests.values())

    def is_serving(self, request: ids.RequestId) -> bool:
        """Returns whether a request is in service."""
        return bool(self._active_requests.get(request))

    def begin(
        self, spec: jobs.RequestSpec, now_ms: int
    ) -> messages.RunnerAnswer | None:
        """Starts a request unless the runner is leaving or has no free slot.

        Args:
            spec: The request.
            now_ms: Current time of the runner.

        Returns:
            None if the request was started; otherwise a refusal, which proves
            that the request did not run.
        """
        if self.leaving:
            return self._answer(spec, messages.RunnerOutcome.LEAVING)
        if self.busy_slots >= self.target.slots:
            return self._answer(spec, messages.RunnerOutcome.BUSY)
        self._active_requests[spec.request].append(spec)
        self._trace(timeline_events.EventKind.RUNNER_STARTED, spec, now_ms)
        return None

    def finish(
        self, request: ids.RequestId, now_ms: int
    ) -> messages.RunnerAnswer:
        """Ends a request in service.

        Args:
            request: The request.
            now_ms: Current time of the runner.

        Returns:
            The complete answer; it reports a failure if the payload sets
            ``fail``.
        """
        spec = self._active_requests[request].pop()
        failed = _parse_payload(spec.payload).get("fail", False)
        outcome = (
            messages.RunnerOutcome.FAILED
            if failed
            else messages.RunnerOutcome.DONE
        )
        self._trace(
            timeline_events.EventKind.RUNNER_ENDED,
            spec,
            now_ms,
            detail=outcome.value,
        )
        return self._answer(spec, outcome, payload=answer_payload(spec))

    def crash(self, now_ms: int) -> None:
        """Drops every request in service.

        Args:
            now_ms: Current time of the runner.
        """
        for spec in [
            s for specs in self._active_requests.values() for s in specs
        ]:
            self._trace(
                timeline_events.EventKind.RUNNER_ENDED,
                spec,
                now_ms,
                detail="crashed",
            )
        self._active_requests.clear()

    def _answer(
        self,
        spec: jobs.RequestSpec,
        outcome: messages.RunnerOutcome,
        payload: str = "",
    ) -> messages.RunnerAnswer:
        return messages.RunnerAnswer(
            request=spec.request,
            outcome=outcome,
            payload=payload,
            free_slots=self.target.slots - self.busy_slots,
        )

    def _trace(
        self,
        kind: timeline_events.EventKind,
        spec: jobs.RequestSpec,
        now_ms: int,
        detail: str = "",
    ) -> None:
        self._emit(
            timeline_events.TimelineEvent(
                physical_ms=self._epoch_ms + now_ms,
                logical=0,
                process=self.target.name,
                kind=kind,
                job=spec.idempotency_key,
                request=spec.request,
                account=spec.account,
                target=self.target.name,
                failure_domain=self.target.failure_domain,
                detail=detail,
            )
        )


def _parse_payload(payload: str) -> dict[str, object]:
    try:
        fields = json.loads(payload)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
