"""Exchanges messages between the VMs over ZeroMQ on the Twisted reactor."""

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
HANDSHAKE_TIMEOUT_MS = 3_000

# A frame starts with the length of the sender's name in a single byte.
_MAX_NAME_BYTES = 255


class TransportCounters(msgspec.Struct, kw_only=True):
    """Totals of a transport since it was created.

    Attributes:
        sent_messages: Messages that ZeroMQ accepted for sending.
        sent_bytes: Size of these messages, without ZeroMQ's framing.
        received_messages: Well-formed messages received.
        received_bytes: Size of all messages received, malformed ones
            included.
        dropped_sends: Messages that were not sent because the peer was
            unknown or not connected, or its queue was full.
        malformed: Messages received that could not be decoded.
        keys_refused: Refused connections: the peer presented a key that is
            not trusted here, expected another key than this VM's or broke
            the handshake protocol in another way.
    """

    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0
    dropped_sends: int = 0
    malformed: int = 0
    keys_refused: int = 0


class PeerTransport:
    """The peer socket of one VM and its links to all other VMs.

    Each VM binds one PULL socket and connects one PUSH socket to each peer.
    Sending never blocks: without a connection or with a full queue, the
    message is dropped and counted. The protocol between the VMs tolerates the
    loss of any message. With keys, all connections are authenticated and
    encrypted with CURVE.

    Attributes:
        vm: This VM.
        address: ``ip:port`` that the transport listens on. If port 0 was
            requested, `open` replaces it by the port that was picked.
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
            vm: This VM, sent along as the sender of every message.
            bind_address: ``ip:port`` to listen on; port 0 picks a free port.
            keys: The own key pair and the trusted keys. None turns off
                encryption and authentication; for tests only.
            on_message: Called with the sender and the message for each
                well-formed message.

        Raises:
            ValueError: The name of the VM is empty or longer than 255 bytes.
        """
        self.vm = vm
        self.address = bind_address
        self._reactor = reactor
        self._keys = keys
        self._on_message = on_message
        self._sender_header = _sender_header(vm)
        self._counters = TransportCounters()
        self._links: dict[ids.VmId, peer_link.PeerLink] = {}
        self._resources = contextlib.ExitStack()
        self._context: zmq.Context | None = None
        self._authenticator: curve_keys.CurveAuthenticator | None = None

    @property
    def counters(self) -> TransportCounters:
        """A copy of the counters at this moment."""
        refused = (
            self._authenticator.refused_connections
            if self._authenticator
            else 0
        )
        return msgspec.structs.replace(
            self._counters, keys_refused=self._counters.keys_refused + refused
        )

    def open(self) -> None:
        """Binds the PULL socket and starts to receive.

        Raises:
            zmq.ZMQError: The address cannot be bound.
        """
        with contextlib.ExitStack() as stack:
            self._context = zmq.Context(io_threads=1)
            stack.callback(self._context.term)
            self._open_authenticator(stack)
            self._open_inbox(stack)
            stack.callback(self._close_links)
            self._resources = stack.pop_all()

    def close(self) -> None:
        """Closes all sockets.

        Queued messages are sent for up to `peer_link.LINGER_MS`.
        """
        self._resources.close()

    def set_peers(self, addresses: dict[ids.VmId, str]) -> None:
        """Replaces the set of peers.

        Closes the links to peers that are no longer listed or whose address
        has changed, and opens links to the new ones.

        Args:
            addresses: ``ip:port`` of each peer; an entry for this VM is
                ignored.
        """
        peers = {
            vm: address for vm, address in addresses.items() if vm != self.vm
        }
        stale = [
            vm
            for vm, link in self._links.items()
            if peers.get(vm) != link.address
        ]
        for vm in stale:
            self._links.pop(vm).close()
        for vm in peers.keys() - self._links.keys():
            self._links[vm] = peer_link.PeerLink(
                reactor=self._reactor,
                context=self._context,
                address=peers[vm],
                keys=self._keys,
            )

    def send(self, to: ids.VmId, message: peer_messages.PeerMessage) -> bool:
        """Sends a message to a peer, without blocking.

        Args:
            to: The VM to send to.
            message: The message.

        Returns:
            Whether ZeroMQ accepted the message, which may still be lost. If
            False, the message was dropped.
        """
        link = self._links.get(to)
        data = self._sender_header + peer_messages.encode(message)
        if link is None or not link.send(data):
            self._counters.dropped_sends += 1
            return False
        self._counters.sent_messages += 1
        self._counters.sent_bytes += len(data)
        return True

    def _open_authenticator(self, stack: contextlib.ExitStack) -> None:
        if self._keys is None:
            return
        authenticator = curve_keys.CurveAuthenticator(
            context=self._context, trusted_keys=self._keys.trusted_keys
        )
        stack.callback(authenticator.close)
        socket_reader.start_reading(
            self._reactor,
            authenticator.socket,
            authenticator.handle_request,
            stack,
        )
        self._authenticator = authenticator

    def _open_inbox(self, stack: contextlib.ExitStack) -> None:
        inbox = self._context.socket(zmq.PULL)
        stack.callback(inbox.close)
        inbox.linger = 0
        inbox.rcvhwm = HIGH_WATER_MARK_MESSAGES
        inbox.maxmsgsize = MAX_MESSAGE_BYTES
        inbox.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        if self._keys is not None:
            inbox.curve_server = True
            self._keys.apply_to(inbox)
        # Untrusted keys are counted by the authenticator instead.
        socket_reader.monitor_connections(
            self._reactor,
            inbox,
            zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL,
            self._count_handshake_failure,
            stack,
        )
        inbox.bind(f"tcp://{self.address}")
        bound = inbox.getsockopt(zmq.LAST_ENDPOINT).rstrip(b"\0")
        self.address = bound.decode("ascii").removeprefix("tcp://")
        socket_reader.start_reading(self._reactor, inbox, self._receive, stack)

    def _count_handshake_failure(self, frames: list[bytes]) -> None:
        self._counters.keys_refused += 1

    def _receive(self, frames: list[bytes]) -> None:
        self._counters.received_bytes += sum(len(frame) for frame in frames)
        received = _decode_frames(frames)
        if received is None:
            self._counters.malformed += 1
            return
        self._counters.received_messages += 1
        self._on_message(*received)

    def _close_links(self) -> None:
        for link in self._links.values():
            link.close()
        self._links.clear()


def _sender_header(vm: ids.VmId) -> bytes:
    """Returns the header of each frame: a length byte and the VM name."""
    name = vm.encode("utf-8")
    if not 0 < len(name) <= _MAX_NAME_BYTES:
        raise ValueError("expected a VM name of 1 to 255 bytes in UTF-8")
    return bytes((len(name),)) + name


def _decode_frames(
    frames: list[bytes],
) -> tuple[ids.VmId, peer_messages.PeerMessage] | None:
    """Decodes the sender and the message of one frame.

    Returns:
        The sender and the message, or None if there is not exactly one frame
        or it is malformed. Deeply nested MessagePack raises RecursionError
        in the decoder and counts as malformed.
    """
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
