"""Breaks each promise on purpose, to prove that the matrix can fail.

Every sabotage replaces one rule of the system by its absence, either between
an agent and its shell or at one public method. Nothing outside the bench uses
them.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any

import msgspec

from citronmount.agent import agent as agent_lib
from citronmount.agent import attempts
from citronmount.agent import claims
from citronmount.agent import effects
from citronmount.agent import events
from citronmount.agent import homes
from citronmount.agent import owned_domain
from citronmount.bench.faults import agents
from citronmount.bench.faults import cell as cell_lib
from citronmount.bench.faults import matrix
from citronmount.clients import messages
from citronmount.config import configuration
from citronmount.core import decisions
from citronmount.core import scheduler
from citronmount.core import states
from citronmount.standins import worker_model as worker_lib
from citronmount.state import records

__all__ = [
    "ANY",
    "SABOTAGES",
    "Sabotage",
    "broken_promises",
    "caught_by",
    "without",
]


class Sabotage(msgspec.Struct, frozen=True, kw_only=True):
    """One rule that is taken out.

    Attributes:
        name: What is missing.
        promise: The promise that must be reported as broken, or `ANY`.
        strikes: The cell in which it shows.
        seeds: Seeds that are tried in turn.
        trial_run_ms: Run time of the trials, long enough for it to show.
        apply: Puts the sabotage in place; gives the maker of agents.
    """

    name: str
    promise: str
    strikes: tuple[tuple[str, str], ...]
    seeds: tuple[int, ...]
    trial_run_ms: int
    apply: Callable[[], contextlib.AbstractContextManager[Callable[..., Any]]]


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
        name: What is missing.
        promise: The promise that must be reported as broken.
        *strikes: The cell in which it shows.
        seeds: How many seeds are tried.
        trial_run_ms: Run time of the trials.

    Returns:
        The decorator of a generator function that yields the agent maker.
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


def caught_by(name: str) -> matrix.CellResult | None:
    """Runs the cells of a sabotage until the matrix catches it.

    Args:
        name: The sabotage.

    Returns:
        The verdict that names the promise, or None if every cell held.
    """
    entry = SABOTAGES[name]
    with entry.apply() as make_agent:
        for seed in entry.seeds:
            result = _run(entry, seed, make_agent)
            if entry.promise in broken_promises(result):
                return result
    return None


def broken_promises(result: matrix.CellResult) -> set[str]:
    """Returns the promises that a verdict names, and `ANY` if there are some.

    Args:
        result: The verdict.
    """
    names = {violation.promise for violation in result.violations}
    if names or result.contradictions:
        names.add(ANY)
    return names


def without(name: str, seed: int) -> matrix.CellResult:
    """Runs the cell of a sabotage on the agents as they are.

    Args:
        name: The sabotage.
        seed: The seed.

    Returns:
        The verdict.
    """
    return _run(SABOTAGES[name], seed, agents.make_agent)


def _run(
    entry: Sabotage, seed: int, make_agent: Callable[..., Any]
) -> matrix.CellResult:
    def prepare(cell: cell_lib.Cell) -> None:
        cell.trial_run_ms = entry.trial_run_ms

    plan = matrix.Plan(strikes=entry.strikes, seed=seed)
    return matrix.run_cell(plan, make_agent=make_agent, prepare=prepare)[0]


class _Between:
    """Sits between an agent and its shell and changes what passes."""

    def __init__(self, inner: agent_lib.Agent) -> None:
        self.inner = inner

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        return self.inner.handle(self.change(event), now_ms, wall_ms)

    def change(self, event: events.Event) -> events.Event:
        return event


def _maker(between: type[_Between]) -> Callable[..., _Between]:
    return lambda *args: between(agents.make_agent(*args))


@contextlib.contextmanager
def _replaced(owner: Any, name: str, value: Any) -> Iterator[None]:
    before = getattr(owner, name)
    setattr(owner, name, value)
    try:
        yield
    finally:
        setattr(owner, name, before)


@sabotage("no-evictions", "guarantee-reclaimable", seeds=2)
def _no_evictions() -> Iterator[Callable[..., Any]]:
    decide = scheduler.DomainScheduler.decide

    def without(self: Any, now_ms: int) -> list[decisions.Decision]:
        return [
            decision
            for decision in decide(self, now_ms)
            if not isinstance(decision, decisions.EvictJob)
        ]

    with _replaced(scheduler.DomainScheduler, "decide", without):
        yield agents.make_agent


@sabotage(
    "lost-members-ignored",
    "gang-whole",
    ("target-dies", "job.renew"),
    trial_run_ms=40_000,
)
def _lost_members() -> Iterator[Callable[..., Any]]:
    report = attempts.Attempt.report

    def living(self: Any, worker: Any, lease: messages.LeaseReport) -> None:
        if lease.state is not states.LeaseState.LAPSED:
            report(self, worker, lease)

    def nothing(self: Any, *args: Any) -> None:
        pass

    with contextlib.ExitStack() as stack:
        for name, value in (
            ("report", living),
            ("absent", nothing),
            ("worker_lost", nothing),
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
    def opened(
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
            inner = owner.set_configuration
            stack.enter_context(
                _replaced(
                    owner,
                    "set_configuration",
                    lambda self, content, inner=inner: inner(
                        self, opened(content)
                    ),
                )
            )
        stack.enter_context(
            _replaced(homes, "in_service", lambda current, domain: True)
        )
        yield agents.make_agent


class _MixedAnswers(_Between):
    """Takes the last answer of any runner for the answer to a request."""

    def __init__(self, inner: agent_lib.Agent) -> None:
        super().__init__(inner)
        self.last = ""

    def change(self, event: events.Event) -> events.Event:
        if not isinstance(event, events.RunnerAnswered) or not event.answer:
            return event
        payload, self.last = self.last, event.answer.payload
        if not payload:
            return event
        answer = msgspec.structs.replace(event.answer, payload=payload)
        return msgspec.structs.replace(event, answer=answer)


@sabotage("answers-mixed-up", "own-whole-answer", seeds=1)
def _mixed_answers() -> Iterator[Callable[..., Any]]:
    yield _maker(_MixedAnswers)


class _SilenceIsRefusal(_Between):
    """Takes a runner's silence for the proof that nothing ran."""

    def change(self, event: events.Event) -> events.Event:
        if not isinstance(event, events.RunnerAnswered) or event.answer:
            return event
        return msgspec.structs.replace(event, sent=False)


@sabotage(
    "silence-is-refusal", "not-run-is-true", ("message-lost", "request.send")
)
def _silence() -> Iterator[Callable[..., Any]]:
    yield _maker(_SilenceIsRefusal)


@sabotage(
    "claims-always-granted",
    "at-most-once",
    ("process-paused", "request.send"),
    seeds=40,
)
def _no_claims() -> Iterator[Callable[..., Any]]:
    def granted(
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

    with _replaced(claims.Claims, "claim", granted):
        yield agents.make_agent


class _LeavingUnseen(_Between):
    """Never learns that a target leaves."""

    def change(self, event: events.Event) -> events.Event:
        match event:
            case events.PlatformListed(view=view) if view is not None:
                return msgspec.structs.replace(
                    event,
                    view=msgspec.structs.replace(
                        view,
                        workers=_all_up(view.workers),
                        runners=_all_up(view.runners),
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


def _all_up(
    targets: tuple[messages.ListedTarget, ...],
) -> tuple[messages.ListedTarget, ...]:
    up = states.TargetState.UP
    return tuple(msgspec.structs.replace(t, state=up) for t in targets)


@sabotage(
    "leaving-unseen", "leaving-target", ("target-leaving", "request.answer")
)
def _leaving_unseen() -> Iterator[Callable[..., Any]]:
    yield _maker(_LeavingUnseen)


class _ExitsAtOnce(_Between):
    """Stops without finishing anything."""

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        if isinstance(event, events.DrainRequested):
            return [effects.Exit()]
        return super().handle(event, now_ms, wall_ms)


@sabotage("exit-at-once", "graceful-stop", ("log-slow", "drain.request"))
def _exits_at_once() -> Iterator[Callable[..., Any]]:
    yield _maker(_ExitsAtOnce)


class _AnyBase(_Between):
    """Folds every change, whatever version its operator had seen."""

    def change(self, event: events.Event) -> events.Event:
        if not isinstance(event, events.LogRead) or event.page is None:
            return event
        version = self.inner.configuration.fold.current.version
        changed = []
        for entry in event.page.records:
            change = records.decode(entry.data)
            if isinstance(change, records.ConfigurationChange):
                data = records.encode(
                    msgspec.structs.replace(change, base_version=version)
                )
                version += 1
                entry = msgspec.structs.replace(entry, data=data)
            changed.append(entry)
        page = msgspec.structs.replace(event.page, records=tuple(changed))
        return msgspec.structs.replace(event, page=page)


@sabotage(
    "base-version-ignored",
    "configuration-in-force",
    ("operators-racing", "change.publish"),
)
def _any_base() -> Iterator[Callable[..., Any]]:
    yield _maker(_AnyBase)


@sabotage("tokens-ignored", ANY, ("vms-cut-apart", "job.start"))
def _tokens_ignored() -> Iterator[Callable[..., Any]]:
    call = worker_lib.WorkerModel.call

    def unfenced(
        self: Any, body: messages.WorkerCall, now_ms: int
    ) -> messages.WorkerAnswer:
        token = max(self.token, body.token)
        raised = msgspec.structs.replace(body, token=token)
        answer = call(self, raised, now_ms)
        report = answer.report and msgspec.structs.replace(
            answer.report, token=body.token
        )
        return msgspec.structs.replace(answer, token=body.token, report=report)

    with _replaced(worker_lib.WorkerModel, "call", unfenced):
        yield agents.make_agent
