"""CURVE keys of the peers and the authentication of their connections."""

import msgspec
from twisted.internet import defer
import zmq
from zmq.auth import base

__all__ = ["CurveAuthenticator", "PeerKeys", "generate_keys"]


class PeerKeys(msgspec.Struct, frozen=True, kw_only=True):
    """The CURVE key pair of a process and the peer keys that it trusts.

    All keys are in ZeroMQ's Z85 text form. Every process also trusts its own
    public key, so VMs that share one key pair need no accepted keys.

    Attributes:
        public_key: The public key that this process presents.
        secret_key: The secret key that belongs to `public_key`.
        accepted_keys: Further public keys that are trusted, both of peers
            that connect to this process and of peers it connects to.
    """

    public_key: str
    secret_key: str
    accepted_keys: tuple[str, ...] = ()

    @property
    def trusted_keys(self) -> tuple[str, ...]:
        """All public keys that a peer may present, the own key first."""
        others = (key for key in self.accepted_keys if key != self.public_key)
        return (self.public_key, *others)

    def apply_to(self, socket: zmq.Socket) -> None:
        """Sets the key pair on a socket.

        Args:
            socket: A socket that is not yet bound or connected, since ZeroMQ
                reads the keys at that moment.
        """
        socket.curve_publickey = self.public_key.encode("ascii")
        socket.curve_secretkey = self.secret_key.encode("ascii")


def generate_keys() -> PeerKeys:
    """Generates a random key pair without further accepted keys."""
    public, secret = zmq.curve_keypair()
    return PeerKeys(
        public_key=public.decode("ascii"), secret_key=secret.decode("ascii")
    )


class CurveAuthenticator:
    """Answers ZeroMQ's authentication requests in the reactor's thread.

    Implements the server side of ZAP (ZeroMQ RFC 27) through `zmq.auth`. A
    connection whose public key is not trusted is refused and counted.

    Attributes:
        refused_connections: Number of connections refused so far.
    """

    def __init__(
        self, *, context: zmq.Context, trusted_keys: tuple[str, ...]
    ) -> None:
        """Initializes the authenticator and binds its socket in the context.

        Args:
            context: The context whose sockets ask for authentication.
            trusted_keys: Public keys that may connect, in Z85 text form.
        """
        self.refused_connections = 0
        self._trusted_keys = frozenset(
            key.encode("ascii") for key in trusted_keys
        )
        self._authenticator = base.Authenticator(context)
        self._authenticator.configure_curve_callback("*", self)
        self._authenticator.start()

    @property
    def socket(self) -> zmq.Socket:
        """The socket that receives the authentication requests."""
        return self._authenticator.zap_socket

    def handle_request(self, frames: list[bytes]) -> None:
        """Answers one authentication request.

        Args:
            frames: The frames of the ZAP request.
        """
        defer.ensureDeferred(self._authenticator.handle_zap_message(frames))

    def callback(self, domain: str, key: bytes) -> bool:
        """Decides whether a public key may connect; called by `zmq.auth`.

        Args:
            domain: The ZAP domain; ignored, as all domains trust one key set.
            key: The public key of the connecting peer, in Z85 text form.

        Returns:
            Whether the key is trusted.
        """
        trusted = key in self._trusted_keys
        self.refused_connections += not trusted
        return trusted

    def close(self) -> None:
        """Closes the socket.

        Sockets that are still bound then accept every key, because ZeroMQ
        does not authenticate without a handler. Close them first.
        """
        self._authenticator.stop()
