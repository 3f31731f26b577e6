"""Sends messages between the VMs over ZeroMQ on the Twisted reactor."""

from collections.abc import Callable
import contextlib

import msgspec
from twisted.internet import interfaces
import zmq

from citronmount.core import ids
from citronmount.peers import curve_keys
from citronmount.peers import peer_link
from citronmount.peers import peer_messages
from citronmount.peers import socket_reader

__all__ = ["PeerTransport", "TransportCounters"]

HIGH_WATER_MARK_MESSAGES = 1_000
MAX_MESSAGE_BYTES = 32 << 20
HANDSHAKE_MS = 3_000

_MAX_NAME_BYTES = 255


class TransportCounters(msgspec.Struct, kw_only=True):
    """What the transport has done since it was opened.

    Attributes:
        sent_messages: Messages handed to ZeroMQ.
        sent_bytes: Their bytes, without ZeroMQ's own.
        received_messages: Well-formed messages received.
        received_bytes: Bytes of all messages received.
        dropped_sends: Messages not sent, as the peer was not connected or
            its queue was full.
        malformed: Messages received that could not be read.
        keys_refused: Connections refused for their own key or because they
            expected another key here.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_sends: int = 0
    malformed: int = 0
    keys_refused: int = 0


class PeerTransport:
    """The peer socket of one VM and its links to all others.

    Each VM binds one PULL socket and connects one PUSH socket to each peer.
    A send never blocks: with no connection or a full queue the message is
    dropped and counted, since every message between peers may be lost. All
    connections are authenticated and encrypted by CURVE.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorCore,
        vm: ids.VmId,
        bind_address: str,
        keys: curve_keys.PeerKeys | None,
        on_message: Callable[[ids.VmId, peer_messages.PeerMessage], None],
    ) -> None:
        """Initializes a transport that is not open.

        Args:
            reactor: The reactor that watches the sockets.
            vm: This VM, named as the sender of every message.
            bind_address: ``ip:port`` to listen on; port 0 picks a free one.
            keys: Keys of this process and of its peers, or None to leave
                the sockets open to anyone, in tests only.
            on_message: Called with the sender and each message.
        """
        self.vm = vm
        self.address = bind_address
        self._reactor = reactor
        self._keys = keys
        self._on_message = on_message
        self._header = _header(vm)
        self._counters = TransportCounters()
        self._links: dict[ids.VmId, peer_link.PeerLink] = {}
        self._stack = contextlib.ExitStack()
        self._context: zmq.Context | None = None
        self._gate: curve_keys.CurveAuthenticator | None = None

    @property
    def counters(self) -> TransportCounters:
        """The counters of this moment."""
        refused = self._gate.refused if self._gate else 0
        return msgspec.structs.replace(
            self._counters, keys_refused=self._counters.keys_refused + refused
        )

    def open(self) -> None:
        """Binds the socket and starts to receive.

        Raises:
            zmq.ZMQError: The address cannot be bound.
        """
        with contextlib.ExitStack() as stack:
            self._context = zmq.Context(io_threads=1)
            stack.callback(self._context.term)
            self._open_gate(stack)
            self._open_inbox(stack)
            stack.callback(self._close_links)
            self._stack = stack.pop_all()

    def close(self) -> None:
        """Closes every socket, after what is queued had time to leave."""
        self._stack.close()

    def set_peers(self, addresses: dict[ids.VmId, str]) -> None:
        """Takes over which peers there are.

        Links to peers that are gone or have moved are closed.

        Args:
            addresses: ``ip:port`` of each peer; this VM is left out.
        """
        wanted = {vm: at for vm, at in addresses.items() if vm != self.vm}
        stale = [
            vm
            for vm, link in self._links.items()
            if wanted.get(vm) != link.address
        ]
        for vm in stale:
            self._links.pop(vm).close()
        for vm in wanted.keys() - self._links.keys():
            self._links[vm] = peer_link.PeerLink(
                reactor=self._reactor,
                context=self._context,
                address=wanted[vm],
                keys=self._keys,
            )

    def send(self, to: ids.VmId, message: peer_messages.PeerMessage) -> bool:
        """Sends a message without blocking.

        Args:
            to: The VM to send to.
            message: The message.

        Returns:
            Whether ZeroMQ took the message; it may still be lost.
        """
        link = self._links.get(to)
        data = self._header + peer_messages.encode(message)
        if link is None or not link.send(data):
            self._counters.dropped_sends += 1
            return False
        self._counters.sent_messages += 1
        self._counters.sent_bytes += len(data)
        return True

    def _open_gate(self, stack: contextlib.ExitStack) -> None:
        if self._keys is None:
            return
        gate = curve_keys.CurveAuthenticator(
            context=self._context, trusted=self._keys.trusted_keys
        )
        stack.callback(gate.close)
        socket_reader.start_reading(
            self._reactor, gate.socket, gate.handle, stack
        )
        self._gate = gate

    def _open_inbox(self, stack: contextlib.ExitStack) -> None:
        inbox = self._context.socket(zmq.PULL)
        stack.callback(inbox.close)
        inbox.linger = 0
        inbox.rcvhwm = HIGH_WATER_MARK_MESSAGES
        inbox.maxmsgsize = MAX_MESSAGE_BYTES
        inbox.handshake_ivl = HANDSHAKE_MS
        if self._keys is not None:
            inbox.curve_server = True
            self._keys.apply_to(inbox)
        socket_reader.monitor_connections(
            self._reactor,
            inbox,
            zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
            self._count_failure,
            stack,
        )
        inbox.bind(f"tcp://{self.address}")
        bound = inbox.getsockopt(zmq.LAST_ENDPOINT).rstrip(b"\0")
        self.address = bound.decode("ascii").removeprefix("tcp://")
        socket_reader.start_reading(self._reactor, inbox, self._receive, stack)

    def _count_failure(self, frames: list[bytes]) -> None:
        self._counters.keys_refused += 1

    def _receive(self, frames: list[bytes]) -> None:
        self._counters.received_bytes += sum(len(frame) for frame in frames)
        read = _read(frames)
        if read is None:
            self._counters.malformed += 1
            return
        self._counters.received_messages += 1
        self._on_message(*read)

    def _close_links(self) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()


def _header(vm: ids.VmId) -> bytes:
    name = vm.encode("utf-8")
    if not 0 < len(name) <= _MAX_NAME_BYTES:
        raise ValueError("a VM name takes 1 to 255 bytes")
    return bytes((len(name),)) + name


def _read(
    frames: list[bytes],
) -> tuple[ids.VmId, peer_messages.PeerMessage] | None:
    """Returns the sender and message of one frame, None if malformed."""
    if len(frames) != 1 or not frames[0]:
        return None
    length = frames[0][0]
    name, body = frames[0][1 : length + 1], frames[0][length + 1 :]
    try:
        message = peer_messages.decode(body)
        sender = ids.VmId(name.decode("utf-8"))
    except (RecursionError, UnicodeDecodeError):
        return None
    return (sender, message) if message is not None and name else None
