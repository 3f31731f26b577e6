"""Reads ZeroMQ sockets on the Twisted reactor, without extra threads."""

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
    """Passes every message that a socket receives to a callback.

    The file descriptor of a ZeroMQ socket is edge-triggered: it becomes
    readable once when the socket's state changes and does not stay readable
    while messages are queued. The reader therefore receives until the socket
    is empty. It does so in batches of `BATCH_MESSAGES`, so that the reactor
    can run other callbacks during a long backlog.
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
            reactor: The reactor that watches the file descriptor.
            socket: An open socket of a type that can receive.
            on_message: Called with the frames of each message.
        """
        self._reactor = reactor
        self._socket = socket
        self._on_message = on_message
        self._descriptor = socket.fd
        self._next_batch = None
        self._stopped = True

    def start(self) -> None:
        """Starts to receive, beginning with messages already queued."""
        self._stopped = False
        self._reactor.addReader(self)
        self._schedule_batch()

    def stop(self) -> None:
        """Stops receiving; the socket stays open."""
        self._stopped = True
        self._reactor.removeReader(self)
        if self._next_batch is not None and self._next_batch.active():
            self._next_batch.cancel()
        self._next_batch = None

    def fileno(self) -> int:
        """Returns the file descriptor that the reactor watches."""
        return self._descriptor

    def logPrefix(self) -> str:  # noqa: N802
        """Returns the prefix that Twisted uses in its log lines."""
        return "zmq"

    def doRead(self) -> None:  # noqa: N802
        """Receives up to one batch; called by the reactor."""
        for _ in range(BATCH_MESSAGES):
            if self._stopped:
                return
            try:
                frames = self._socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._on_message(frames)
        self._schedule_batch()

    def connectionLost(self, reason: failure.Failure) -> None:  # noqa: N802
        """Stops receiving; called by the reactor.

        The reactor calls it when it shuts down and after `doRead` has raised
        an exception.

        Args:
            reason: Why the reactor stopped watching the descriptor; ignored.
        """
        self._stopped = True

    def _schedule_batch(self) -> None:
        if self._next_batch is None and not self._stopped:
            self._next_batch = self._reactor.callLater(0, self._run_next_batch)

    def _run_next_batch(self) -> None:
        self._next_batch = None
        self.doRead()


def start_reading(
    reactor: interfaces.IReactorCore,
    socket: zmq.Socket,
    on_message: Callable[[list[bytes]], None],
    stack: contextlib.ExitStack,
) -> None:
    """Reads a socket until an exit stack is closed.

    Args:
        reactor: The reactor that watches the socket.
        socket: An open socket. If the stack also closes it, push that callback
            before this call, so that the reader is stopped first.
        on_message: Called with the frames of each message.
        stack: Receives the callback that stops the reader.
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
    """Reports connection events of a socket, such as failed handshakes.

    Args:
        reactor: The reactor that watches the monitor socket.
        socket: The socket whose connections are monitored.
        events: Bit mask of the ``zmq.EVENT_*`` constants to report.
        on_event: Called with the frames of each event.
        stack: Receives the callbacks that end the monitoring.
    """
    monitor_socket = socket.get_monitor_socket(events)
    stack.callback(monitor_socket.close)
    stack.callback(socket.disable_monitor)
    start_reading(reactor, monitor_socket, on_event, stack)
