"""CURVE keys of the peers and the check of their connections."""

import msgspec
from twisted.internet import defer
import zmq
from zmq.auth import base

__all__ = ["CurveAuthenticator", "PeerKeys", "generate_keys"]


class PeerKeys(msgspec.Struct, frozen=True, kw_only=True):
    """The keys of one process, in the Z85 text form of ZeroMQ.

    Attributes:
        public_key: The public key that this process presents.
        secret_key: The secret key that belongs to it.
        accepted_keys: Public keys of peers that may connect, and that are
            expected of peers, besides `public_key`.
    """

    public_key: str
    secret_key: str
    accepted_keys: tuple[str, ...] = ()

    @property
    def trusted_keys(self) -> tuple[str, ...]:
        """Every public key that a peer may present, this one's first."""
        others = (key for key in self.accepted_keys if key != self.public_key)
        return (self.public_key, *others)

    def apply_to(self, socket: zmq.Socket) -> None:
        """Makes a socket use the own key pair.

        Args:
            socket: A socket that is not yet bound or connected.
        """
        socket.curve_publickey = self.public_key.encode("ascii")
        socket.curve_secretkey = self.secret_key.encode("ascii")


def generate_keys() -> PeerKeys:
    """Returns a new random key pair.

    Returns:
        Keys that accept no others.
    """
    public, secret = zmq.curve_keypair()
    return PeerKeys(
        public_key=public.decode("ascii"), secret_key=secret.decode("ascii")
    )


class CurveAuthenticator:
    """Answers ZeroMQ's authentication requests on the reactor's loop.

    It speaks ZAP (ZeroMQ RFC 27) through `zmq.auth`. A connection whose key
    is not trusted is refused and counted.

    Attributes:
        refused: Connections refused so far.
    """

    def __init__(
        self, *, context: zmq.Context, trusted: tuple[str, ...]
    ) -> None:
        """Initializes the gate and binds its socket in the context.

        Args:
            context: The context whose sockets ask for authentication.
            trusted: Public keys that may connect.
        """
        self.refused = 0
        self._trusted = frozenset(key.encode("ascii") for key in trusted)
        self._authenticator = base.Authenticator(context)
        self._authenticator.configure_curve_callback("*", self)
        self._authenticator.start()

    @property
    def socket(self) -> zmq.Socket:
        """The socket that authentication requests arrive at."""
        return self._authenticator.zap_socket

    def handle(self, frames: list[bytes]) -> None:
        """Answers one request.

        Args:
            frames: The frames of the request.
        """
        defer.ensureDeferred(self._authenticator.handle_zap_message(frames))

    def callback(self, domain: str, key: bytes) -> bool:
        """Decides on a public key; called by `zmq.auth`.

        Args:
            domain: The ZAP domain, which does not matter here.
            key: The public key of the connecting peer.

        Returns:
            Whether the peer may connect.
        """
        trusted = key in self._trusted
        self.refused += not trusted
        return trusted

    def close(self) -> None:
        """Closes the socket; later connections are refused."""
        self._authenticator.stop()
