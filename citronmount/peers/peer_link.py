"""The outgoing connection to one peer, which finds the peer's key."""

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
UNACKNOWLEDGED_MS = 5_000
HANDSHAKE_MS = 3_000

_MS_PER_S = 1_000
_HANDSHAKE_FAILED = (
    zmq.EVENT_HANDSHAKE_FAILED_NO_DETAIL
    | zmq.EVENT_HANDSHAKE_FAILED_PROTOCOL
    | zmq.EVENT_HANDSHAKE_FAILED_AUTH
)


class PeerLink:
    """A PUSH socket to one peer.

    The list of VMs names addresses but no keys, so the link expects each
    trusted key in turn until a handshake succeeds. After a round without
    success it waits `RECONNECT_MAX_MS`.

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
            reactor: The reactor to time and watch with.
            context: Makes the sockets.
            address: ``ip:port`` of the peer.
            keys: Own and trusted keys, or None for no encryption.
        """
        self.address = address
        self._reactor = reactor
        self._context = context
        self._keys = keys
        self._key_index = 0
        self._socket: zmq.Socket | None = None
        self._opened = contextlib.ExitStack()
        self._open()

    def send(self, data: bytes) -> bool:
        """Sends a message without blocking.

        Args:
            data: The message.

        Returns:
            Whether ZeroMQ took it.
        """
        if self._socket is None:
            return False
        try:
            self._socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Closes the socket; queued messages get `LINGER_MS` to leave."""
        self._socket = None
        self._opened.close()

    def _open(self) -> None:
        socket = self._context.socket(zmq.PUSH)
        self._opened.callback(socket.close)
        socket.linger = LINGER_MS
        socket.sndhwm = HIGH_WATER_MARK_MESSAGES
        socket.immediate = True
        socket.reconnect_ivl = RECONNECT_MIN_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        socket.tcp_maxrt = UNACKNOWLEDGED_MS
        socket.handshake_ivl = HANDSHAKE_MS
        if self._keys is not None:
            self._use_keys(socket, self._keys)
        socket.connect(f"tcp://{self.address}")
        self._socket = socket

    def _use_keys(self, socket: zmq.Socket, keys: curve_keys.PeerKeys) -> None:
        keys.apply_to(socket)
        expected = keys.trusted_keys[self._key_index]
        socket.curve_serverkey = expected.encode("ascii")
        if len(keys.trusted_keys) > 1:
            socket_reader.monitor_connections(
                self._reactor,
                socket,
                _HANDSHAKE_FAILED,
                lambda frames: self._expect_next_key(),
                self._opened,
            )

    def _expect_next_key(self) -> None:
        self.close()
        self._opened = contextlib.ExitStack()
        self._key_index = (self._key_index + 1) % len(self._keys.trusted_keys)
        wait_ms = 0 if self._key_index else RECONNECT_MAX_MS
        retry = self._reactor.callLater(wait_ms / _MS_PER_S, self._open)
        self._opened.callback(_cancel, retry)


def _cancel(call: interfaces.IDelayedCall) -> None:
    if call.active():
        call.cancel()
