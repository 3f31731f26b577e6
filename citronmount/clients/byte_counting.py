"""Counts the bytes of outgoing HTTP connections."""

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import policies
from zope.interface import implementer

__all__ = ["ByteCountingEndpoint", "Traffic"]


class Traffic(msgspec.Struct, kw_only=True):
    """Bytes of all connections so far, HTTP headers included.

    Attributes:
        sent_bytes: Bytes handed to the connections.
        received_bytes: Bytes that came from them.
    """

    sent_bytes: int = 0
    received_bytes: int = 0


class _ByteCountingProtocol(policies.ProtocolWrapper):
    """Adds the bytes of one connection to the traffic of its factory."""

    def makeConnection(  # noqa: N802
        self, transport: interfaces.ITCPTransport
    ) -> None:
        """Lets small requests leave at once."""
        transport.setTcpNoDelay(True)
        super().makeConnection(transport)

    def write(self, data: bytes) -> None:
        """Counts and writes bytes."""
        self.factory.traffic.sent_bytes += len(data)
        super().write(data)

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        """Counts and writes several byte strings."""
        self.factory.traffic.sent_bytes += sum(map(len, data))
        super().writeSequence(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Counts and passes on what came in."""
        self.factory.traffic.received_bytes += len(data)
        super().dataReceived(data)


class _ByteCountingFactory(policies.WrappingFactory):
    """Wraps the protocols of one connection attempt."""

    protocol = _ByteCountingProtocol
    noisy = False

    def __init__(
        self, wrapped: interfaces.IProtocolFactory, traffic: Traffic
    ) -> None:
        super().__init__(wrapped)
        self.traffic = traffic


@implementer(interfaces.IStreamClientEndpoint)
class ByteCountingEndpoint:
    """Connects like another endpoint and counts the bytes."""

    def __init__(
        self,
        *,
        endpoint: interfaces.IStreamClientEndpoint,
        traffic: Traffic,
    ) -> None:
        """Initializes the endpoint.

        Args:
            endpoint: Makes the connections.
            traffic: Gets the bytes.
        """
        self._endpoint = endpoint
        self._traffic = traffic

    def connect(
        self, factory: interfaces.IProtocolFactory
    ) -> defer.Deferred[protocol.Protocol]:
        """Connects.

        Args:
            factory: Makes the protocol of the connection.

        Returns:
            Fires with the protocol that the factory made.
        """
        connected = self._endpoint.connect(
            _ByteCountingFactory(factory, self._traffic)
        )
        return connected.addCallback(lambda wrapper: wrapper.wrappedProtocol)
