"""Fakes of the state machine, the peers and the HTTP client."""

from collections.abc import Callable

from twisted.internet import defer

from citronmount.agent import effects
from citronmount.agent import events
from citronmount.config import configuration as configuration_lib
from citronmount.core import ids
from citronmount.core import states
from citronmount.peers import peer_messages
from citronmount.service import bodies

AnswerFunction = Callable[
    [peer_messages.CallerCall], peer_messages.Answer | None
]


class FakeStateMachine:
    """Records events and returns the answers and effects that a test sets."""

    def __init__(self, answer: AnswerFunction = lambda body: None) -> None:
        self.answer = answer
        self.events: list[events.Event] = []
        self.effects: dict[type, list[effects.Effect]] = {}
        self.raises = False
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
        if self.raises:
            raise ValueError("raised for the test")
        returned = list(self.effects.get(type(event), []))
        if isinstance(event, events.CallArrived):
            body = self.answer(event.body)
            if body is not None:
                returned.append(effects.Reply(ticket=event.ticket, body=body))
        return returned

    def members(self, now_ms: int) -> tuple[bodies.Member, ...]:
        return ()

    def fragmentation(self) -> float:
        return 0.25

    def of_type(self, event_type: type) -> list[events.Event]:
        """Returns the events of one type, in order."""
        return [event for event in self.events if isinstance(event, event_type)]


class FakePeers:
    """Records messages to peers and the addresses of peers."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, peer_messages.PeerMessage]] = []
        self.peers: dict[str, str] = {}

    def send(self, to: str, message: peer_messages.PeerMessage) -> bool:
        self.sent.append((to, message))
        return True

    def set_peers(self, addresses: dict[str, str]) -> None:
        self.peers = addresses


class FakeHttp:
    """Leaves every call pending until the test completes it."""

    def __init__(self) -> None:
        self.pending: list[defer.Deferred] = []
        self.paths: list[str] = []

    def get(self, address: str, path: str, *args: object, **kwargs: object):
        return self._call(path)

    def post(self, address: str, path: str, *args: object):
        return self._call(path)

    def _call(self, path: str) -> defer.Deferred:
        self.paths.append(path)
        answer = defer.Deferred()
        self.pending.append(answer)
        return answer
