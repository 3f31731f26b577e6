"""The outgoing connection to one peer, including the search for its key."""

import contextlib

from twisted.internet import interfaces
import zmq

from citronmount.peers import curve_keys
from citronmount.peers import socket_reader

__all__ = ["PeerLink"]

HIGH_WATER_MARK_MESSAGES = 1_000
LINGER_MS = 500
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
TCP_ACK_TIMEOUT_MS = 5_000
HANDSHAKE_TIMEOUT_MS = 3_000

_MS_PER_S = 1_000
_HANDSHAKE_FAILURE_EVENTS = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class PeerLink:
    """A PUSH socket that is connected to one peer.

    The list of VMs gives addresses but no public keys. The link therefore
    tries the trusted keys one after the other as the peer's key until a
    handshake succeeds. When all of them have failed, it waits
    `RECONNECT_MAX_MS` before it starts with the first key again.

    Attributes:
        address: ``ip:port`` of the peer.
    """

    def __init__(
        self,
        *,
        reactor: interfaces.IReactorCore,
        context: zmq.Context,
        address: str,
        keys: curve_keys.PeerKeys | None,
    ) -> None:
        """Initializes the link and starts to connect.

        Args:
            reactor: The reactor that watches the socket and schedules
                retries.
            context: The ZeroMQ context that the socket is created in.
            address: ``ip:port`` of the peer.
            keys: The own key pair and the trusted keys, or None to connect
                without encryption and authentication.
        """
        self.address = address
        self._reactor = reactor
        self._context = context
        self._keys = keys
        self._key_index = 0
        self._socket: zmq.Socket | None = None
        self._resources = contextlib.ExitStack()
        self._open()

    def send(self, data: bytes) -> bool:
        """Queues a message for sending, without blocking.

        Args:
            data: The encoded message.

        Returns:
            Whether ZeroMQ accepted it. False if there is no connection (with
            ZMQ_IMMEDIATE, nothing is queued then) or the queue already holds
            `HIGH_WATER_MARK_MESSAGES`.
        """
        if self._socket is None:
            return False
        try:
            self._socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Closes the socket; queued messages are sent for up to `LINGER_MS`."""
        self._socket = None
        self._resources.close()

    def _open(self) -> None:
        socket = self._context.socket(zmq.PUSH)
        self._resources.callback(socket.close)
        socket.linger = LINGER_MS
        socket.sndhwm = HIGH_WATER_MARK_MESSAGES
        socket.immediate = True
        socket.reconnect_ivl = RECONNECT_MIN_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        socket.tcp_maxrt = TCP_ACK_TIMEOUT_MS
        socket.handshake_ivl = HANDSHAKE_TIMEOUT_MS
        if self._keys is not None:
            self._configure_keys(socket, self._keys)
        socket.connect(f"tcp://{self.address}")
        self._socket = socket

    def _configure_keys(
        self, socket: zmq.Socket, keys: curve_keys.PeerKeys
    ) -> None:
        keys.apply_to(socket)
        expected = keys.trusted_keys[self._key_index]
        socket.curve_serverkey = expected.encode("ascii")
        if len(keys.trusted_keys) > 1:
            socket_reader.monitor_connections(
                self._reactor,
                socket,
                _HANDSHAKE_FAILURE_EVENTS,
                lambda frames: self._retry_with_next_key(),
                self._resources,
            )

    def _retry_with_next_key(self) -> None:
        self.close()
        self._resources = contextlib.ExitStack()
        self._key_index = (self._key_index + 1) % len(self._keys.trusted_keys)
        delay_ms = 0 if self._key_index else RECONNECT_MAX_MS
        retry = self._reactor.callLater(delay_ms / _MS_PER_S, self._open)
        self._resources.callback(_cancel, retry)


def _cancel(call: interfaces.IDelayedCall) -> None:
    if call.active():
        call.cancel()
