"""Breaks properties on purpose, to prove that their checks can fail.

Each sabotage removes one rule of the system, either by changing what passes
between an agent and its harness or by replacing a method. It is used only in
the bench.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any

import msgspec

from citronmount.agent import agent
from citronmount.agent import attempts
from citronmount.agent import claims
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import homes
from citronmount.agent import owned_domain
from citronmount.bench.faults import agents
from citronmount.bench.faults import matrix
from citronmount.bench.faults import matrix_cell
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import decisions
from citronmount.core import scheduler
from citronmount.core import states
from citronmount.standins import worker_model
from citronmount.state import records

__all__ = [
    "ANY",
    "SABOTAGES",
    "Sabotage",
    "broken_properties",
    "run_control",
    "run_until_caught",
]


class Sabotage(msgspec.Struct, frozen=True, kw_only=True):
    """One rule of the system that is removed.

    Attributes:
        name: Name of the sabotage.
        promise: Name of the property that must be reported as broken, or `ANY`.
        strikes: Faults and steps of the cell in which the violation occurs.
        seeds: Seeds to try in turn.
        trial_run_ms: Run time of the trial jobs, long enough for the violation
            to occur.
        apply: Returns a context manager that removes the rule while it is
            active. Its value is the function that creates agents.
    """

    name: str
    promise: str
    strikes: tuple[tuple[str, str], ...]
    seeds: tuple[int, ...]
    trial_run_ms: int
    apply: Callable[[], contextlib.AbstractContextManager[Callable[..., Any]]]


# Stands for any property and for contradictions in the timeline.
ANY = "any"

SABOTAGES: dict[str, Sabotage] = {}


def sabotage(
    name: str,
    promise: str,
    *strikes: tuple[str, str],
    seeds: int = 12,
    trial_run_ms: int = 14_000,
) -> Callable[[Callable[[], Iterator[Any]]], Any]:
    """Registers a sabotage.

    Args:
        name: Name of the sabotage.
        promise: Name of the property that must be reported as broken, or `ANY`.
        *strikes: Faults and steps of the cell in which the violation occurs.
        seeds: Number of seeds to try.
        trial_run_ms: Run time of the trial jobs.

    Returns:
        A decorator for a generator function that removes the rule, yields the
        function that creates agents, and restores the rule.
    """

    def register(function: Callable[[], Iterator[Any]]) -> Any:
        SABOTAGES[name] = Sabotage(
            name=name,
            promise=promise,
            strikes=strikes,
            seeds=tuple(range(seeds)),
            trial_run_ms=trial_run_ms,
            apply=contextlib.contextmanager(function),
        )
        return function

    return register


def run_until_caught(name: str) -> matrix.CellResult | None:
    """Runs the cells of a sabotage until a check reports its property.

    Args:
        name: Name of the sabotage.

    Returns:
        The first result that reports the property as broken, or None.
    """
    sabotage_spec = SABOTAGES[name]
    with sabotage_spec.apply() as make_agent:
        for seed in sabotage_spec.seeds:
            result = _run(sabotage_spec, seed, make_agent)
            if sabotage_spec.promise in broken_properties(result):
                return result
    return None


def broken_properties(result: matrix.CellResult) -> set[str]:
    """Returns the names of the broken properties of a result.

    `ANY` is added if there is a violation or a contradiction in the timeline.

    Args:
        result: The result of a cell.
    """
    broken = {violation.promise for violation in result.violations}
    if broken or result.contradictions:
        broken.add(ANY)
    return broken


def run_control(name: str, seed: int) -> matrix.CellResult:
    """Runs the cell of a sabotage with all rules in place.

    Args:
        name: Name of the sabotage.
        seed: Seed of the cell.
    """
    return _run(SABOTAGES[name], seed, agents.make_agent)


def _run(
    sabotage_spec: Sabotage, seed: int, make_agent: Callable[..., Any]
) -> matrix.CellResult:
    def prepare(cell: matrix_cell.Cell) -> None:
        cell.trial_run_ms = sabotage_spec.trial_run_ms

    plan = matrix.Plan(strikes=sabotage_spec.strikes, seed=seed)
    return matrix.run_cell(plan, make_agent=make_agent, prepare=prepare)[0]


class _AgentWrapper:
    """Wraps an agent and transforms the events that it handles."""

    def __init__(self, inner: agent.Agent) -> None:
        self.inner = inner

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        return self.inner.handle(self.transform_event(event), now_ms, wall_ms)

    def transform_event(self, event: events.Event) -> events.Event:
        return event


def _wrapped_agent_factory(
    wrapper: type[_AgentWrapper],
) -> Callable[..., _AgentWrapper]:
    return lambda *args: wrapper(agents.make_agent(*args))


@contextlib.contextmanager
def _replaced(owner: Any, name: str, value: Any) -> Iterator[None]:
    """Replaces an attribute while the context is active."""
    original = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, original)


@sabotage("no-evictions", "guarantee-reclaimable", seeds=2)
def _no_evictions() -> Iterator[Callable[..., Any]]:
    decide = scheduler.DomainScheduler.decide

    def decide_without_evictions(
        self: Any, now_ms: int
    ) -> list[decisions.Decision]:
        return [
            decision
            for decision in decide(self, now_ms)
            if not isinstance(decision, decisions.EvictJob)
        ]

    with _replaced(
        scheduler.DomainScheduler, "decide", decide_without_evictions
    ):
        yield agents.make_agent


@sabotage(
    "lost-members-ignored",
    "gang-whole",
    ("target-dies", "job.renew"),
    trial_run_ms=40_000,
)
def _lost_members_ignored() -> Iterator[Callable[..., Any]]:
    report = attempts.Attempt.report

    def report_unless_lapsed(
        self: Any, worker_id: Any, lease: messages.LeaseReport
    ) -> None:
        if lease.state is not states.LeaseState.LAPSED:
            report(self, worker_id, lease)

    def do_nothing(self: Any, *args: Any) -> None:
        pass

    with contextlib.ExitStack() as stack:
        for name, value in (
            ("report", report_unless_lapsed),
            ("absent", do_nothing),
            ("worker_lost", do_nothing),
        ):
            stack.enter_context(_replaced(attempts.Attempt, name, value))
        yield agents.make_agent


@sabotage(
    "out-ignored",
    "domain-out",
    ("configuration-out-and-back", "job.reserve"),
    ("burst-of-small", "change.fold"),
)
def _out_ignored() -> Iterator[Callable[..., Any]]:
    def with_all_domains_in(
        content: configuration.Configuration,
    ) -> configuration.Configuration:
        domains = tuple(
            configuration.FailureDomain(
                name=domain.name, state=states.FailureDomainState.IN
            )
            for domain in content.failure_domains
        )
        return msgspec.structs.replace(content, failure_domains=domains)

    with contextlib.ExitStack() as stack:
        for owner in (scheduler.DomainScheduler, owned_domain.OwnedDomain):
            original = owner.set_configuration
            stack.enter_context(
                _replaced(
                    owner,
                    "set_configuration",
                    lambda self, content, original=original: original(
                        self, with_all_domains_in(content)
                    ),
                )
            )
        stack.enter_context(
            _replaced(homes, "in_service", lambda current, domain: True)
        )
        yield agents.make_agent


class _MixedUpAnswers(_AgentWrapper):
    """Gives each answer of a runner the payload of the answer before it.

    The answer before may have come from another runner.
    """

    def __init__(self, inner: agent.Agent) -> None:
        super().__init__(inner)
        self.previous_payload = ""

    def transform_event(self, event: events.Event) -> events.Event:
        if not isinstance(event, events.RunnerAnswered) or not event.answer:
            return event
        payload, self.previous_payload = (
            self.previous_payload,
            event.answer.payload,
        )
        if not payload:
            return event
        answer = msgspec.structs.replace(event.answer, payload=payload)
        return msgspec.structs.replace(event, answer=answer)


@sabotage("answers-mixed-up", "own-whole-answer", seeds=1)
def _answers_mixed_up() -> Iterator[Callable[..., Any]]:
    yield _wrapped_agent_factory(_MixedUpAnswers)


class _SilenceAsRefusal(_AgentWrapper):
    """Treats a missing answer of a runner as proof that nothing ran."""

    def transform_event(self, event: events.Event) -> events.Event:
        if not isinstance(event, events.RunnerAnswered) or event.answer:
            return event
        return msgspec.structs.replace(event, sent=False)


@sabotage(
    "silence-is-refusal", "not-run-is-true", ("message-lost", "request.send")
)
def _silence_is_refusal() -> Iterator[Callable[..., Any]]:
    yield _wrapped_agent_factory(_SilenceAsRefusal)


@sabotage(
    "claims-always-granted",
    "at-most-once",
    ("process-paused", "request.send"),
    seeds=40,
)
def _claims_always_granted() -> Iterator[Callable[..., Any]]:
    def grant_claim(
        self: Any, key: str, digest: str, on_outcome: Callable[..., None]
    ) -> None:
        claim = records.KeyClaimed(
            record=self._ctx.unique_id(),
            key=key,
            body_digest=digest,
            vm=self._ctx.settings.vm,
            claimed_ms=0,
        )
        on_outcome(claims.ClaimOutcome(granted=True, claim=claim))

    with _replaced(claims.Claims, "claim", grant_claim):
        yield agents.make_agent


class _LeavingHidden(_AgentWrapper):
    """Hides from the agent that a target is leaving."""

    def transform_event(self, event: events.Event) -> events.Event:
        match event:
            case events.PlatformListed(view=view) if view is not None:
                return msgspec.structs.replace(
                    event,
                    view=msgspec.structs.replace(
                        view,
                        workers=_with_state_up(view.workers),
                        runners=_with_state_up(view.runners),
                    ),
                )
            case events.RunnerAnswered(answer=answer) if (
                answer and answer.outcome is messages.RunnerOutcome.LEAVING
            ):
                busy = msgspec.structs.replace(
                    answer, outcome=messages.RunnerOutcome.BUSY
                )
                return msgspec.structs.replace(event, answer=busy)
            case _:
                return event


def _with_state_up(
    targets: tuple[messages.ListedTarget, ...],
) -> tuple[messages.ListedTarget, ...]:
    up = states.TargetState.UP
    return tuple(
        msgspec.structs.replace(target, state=up) for target in targets
    )


@sabotage(
    "leaving-unseen", "leaving-target", ("target-leaving", "request.answer")
)
def _leaving_unseen() -> Iterator[Callable[..., Any]]:
    yield _wrapped_agent_factory(_LeavingHidden)


class _ImmediateExit(_AgentWrapper):
    """Exits when a drain is requested, without finishing open work."""

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        if isinstance(event, events.DrainRequested):
            return [effects.Exit()]
        return super().handle(event, now_ms, wall_ms)


@sabotage("exit-at-once", "graceful-stop", ("log-slow", "drain.request"))
def _exit_at_once() -> Iterator[Callable[..., Any]]:
    yield _wrapped_agent_factory(_ImmediateExit)


class _BaseVersionIgnored(_AgentWrapper):
    """Accepts every change, whatever base version it names."""

    def transform_event(self, event: events.Event) -> events.Event:
        if not isinstance(event, events.LogRead) or event.page is None:
            return event
        version = self.inner.configuration.fold.current.version
        rebased_entries = []
        for entry in event.page.records:
            change = records.decode(entry.data)
            if isinstance(change, records.ConfigurationChange):
                data = records.encode(
                    msgspec.structs.replace(change, base_version=version)
                )
                version += 1
                entry = msgspec.structs.replace(entry, data=data)
            rebased_entries.append(entry)
        page = msgspec.structs.replace(
            event.page, records=tuple(rebased_entries)
        )
        return msgspec.structs.replace(event, page=page)


@sabotage(
    "base-version-ignored",
    "configuration-in-force",
    ("operators-racing", "change.publish"),
)
def _base_version_ignored() -> Iterator[Callable[..., Any]]:
    yield _wrapped_agent_factory(_BaseVersionIgnored)


@sabotage("tokens-ignored", ANY, ("vms-cut-apart", "job.start"))
def _tokens_ignored() -> Iterator[Callable[..., Any]]:
    call = worker_model.WorkerModel.call

    def call_unfenced(
        self: Any, body: messages.WorkerCall, now_ms: int
    ) -> messages.WorkerAnswer:
        token = max(self.token, body.token)
        accepted_body = msgspec.structs.replace(body, token=token)
        answer = call(self, accepted_body, now_ms)
        report = answer.report and msgspec.structs.replace(
            answer.report, token=body.token
        )
        return msgspec.structs.replace(answer, token=body.token, report=report)

    with _replaced(worker_model.WorkerModel, "call", call_unfenced):
        yield agents.make_agent
