"""A scripted state machine and a silent network for tests of the shell."""

from collections.abc import Callable

from twisted.internet import defer

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.service import bodies

Answers = Callable[[peer_messages.CallerCall], peer_messages.Answer | None]


class FakeStateMachine:
    """Records events and answers calls from a script."""

    def __init__(self, answer: Answers = lambda body: None) -> None:
        self.answer = answer
        self.events: list[events.Event] = []
        self.effects: dict[type, list[effects.Effect]] = {}
        self.broken = False
        self.ready = True
        self.draining = False
        self.configuration = configuration_lib.Configuration(
            version=ids.Version(3),
            failure_domains=(
                configuration_lib.FailureDomain(
                    name=ids.FailureDomainId("kr-a"),
                    state=states.FailureDomainState.IN,
                ),
                configuration_lib.FailureDomain(
                    name=ids.FailureDomainId("kr-b"),
                    state=states.FailureDomainState.OUT,
                ),
            ),
        )

    def handle(
        self, event: events.Event, now_ms: int, wall_ms: int
    ) -> list[effects.Effect]:
        self.events.append(event)
        if self.broken:
            raise ValueError("broken on purpose")
        found = list(self.effects.get(type(event), []))
        if isinstance(event, events.CallArrived):
            body = self.answer(event.body)
            if body is not None:
                found.append(effects.Reply(ticket=event.ticket, body=body))
        return found

    def members(self, now_ms: int) -> tuple[bodies.Member, ...]:
        return ()

    def fragmentation(self) -> float:
        return 0.25

    def of_type(self, kind: type) -> list[events.Event]:
        """Returns the events of one type, in order."""
        return [event for event in self.events if isinstance(event, kind)]


class FakePeers:
    """Notes what is sent to peers."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, peer_messages.PeerMessage]] = []
        self.peers: dict[str, str] = {}

    def send(self, to: str, message: peer_messages.PeerMessage) -> bool:
        self.sent.append((to, message))
        return True

    def set_peers(self, addresses: dict[str, str]) -> None:
        self.peers = addresses


class FakeHttp:
    """Leaves every exchange open until the test ends it."""

    def __init__(self) -> None:
        self.open: list[defer.Deferred] = []
        self.paths: list[str] = []

    def get(self, address: str, path: str, *rest: object, **more: object):
        return self._exchange(path)

    def post(self, address: str, path: str, *rest: object):
        return self._exchange(path)

    def _exchange(self, path: str) -> defer.Deferred:
        self.paths.append(path)
        answer = defer.Deferred()
        self.open.append(answer)
        return answer
