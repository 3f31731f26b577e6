"""Reads ZeroMQ sockets from the Twisted reactor, without a thread."""

from collections.abc import Callable
import contextlib

from twisted.internet import interfaces
from twisted.python import failure
import zmq
from zope.interface import implementer

__all__ = [
    "BATCH_MESSAGES",
    "SocketReader",
    "monitor_connections",
    "start_reading",
]

BATCH_MESSAGES = 64


@implementer(interfaces.IReadDescriptor)
class SocketReader:
    """Feeds every message of a socket to a callback.

    The descriptor of a ZeroMQ socket is edge-triggered: it becomes readable
    once when the socket's state changes, not as long as messages wait. So a
    read goes on until the socket has no more, and a long backlog is split
    into batches between which the reactor serves others.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorCore,
        socket: zmq.Socket,
        on_message: Callable[[list[bytes]], None],
    ) -> None:
        """Initializes a reader that is not started.

        Args:
            reactor: The reactor that watches the descriptor.
            socket: An open socket that can receive.
            on_message: Called with the frames of each message.
        """
        self._reactor = reactor
        self._socket = socket
        self._on_message = on_message
        self._descriptor = socket.fd
        self._pending = None
        self._stopped = True

    def start(self) -> None:
        """Starts to watch the socket."""
        self._stopped = False
        self._reactor.addReader(self)
        self._schedule()

    def stop(self) -> None:
        """Stops to watch the socket; it stays open."""
        self._stopped = True
        self._reactor.removeReader(self)
        if self._pending is not None and self._pending.active():
            self._pending.cancel()
        self._pending = None

    def fileno(self) -> int:
        """Returns the descriptor that the reactor watches."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        """Returns the name that the reactor logs."""
        return "zmq"

    def doRead(self) -> None:  # noqa: N802
        """Receives one batch; called by the reactor."""
        for _ in range(BATCH_MESSAGES):
            if self._stopped:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_message(frames)
        self._schedule()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Stops reading; called by the reactor when it closes down.

        Args:
            reason: Why the reactor gave the descriptor up.
        """
        self._stopped = True

    def _schedule(self) -> None:
        if self._pending is None and not self._stopped:
            self._pending = self._reactor.callLater(0, self._resume)

    def _resume(self) -> None:
        self._pending = None
        self.doRead()


def start_reading(
    reactor: interfaces.IReactorCore,
    socket: zmq.Socket,
    on_message: Callable[[list[bytes]], None],
    stack: contextlib.ExitStack,
) -> None:
    """Reads a socket until a stack is closed.

    Args:
        reactor: The reactor that watches the socket.
        socket: An open socket, which the stack closes later.
        on_message: Called with the frames of each message.
        stack: Stops the reader when it is closed.
    """
    socket_reader = SocketReader(
        reactor=reactor, socket=socket, on_message=on_message
    )
    socket_reader.start()
    stack.callback(socket_reader.stop)


def monitor_connections(
    reactor: interfaces.IReactorCore,
    socket: zmq.Socket,
    events: int,
    on_event: Callable[[list[bytes]], None],
    stack: contextlib.ExitStack,
) -> None:
    """Watches a socket for events of its connections.

    Args:
        reactor: The reactor that watches the monitor.
        socket: The socket to monitor.
        events: The mask of ZeroMQ's event numbers.
        on_event: Called with the frames of each event.
        stack: Ends the monitor when it is closed.
    """
    source = socket.get_monitor_socket(events)
    stack.callback(source.close)
    stack.callback(socket.disable_monitor)
    start_reading(reactor, source, on_event, stack)
