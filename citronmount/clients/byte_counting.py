"""Counts the bytes sent and received over outgoing connections."""

import msgspec
from twisted.internet import defer
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.protocols import policies
from zope.interface import implementer

__all__ = ["ByteCountingEndpoint", "Traffic"]


class Traffic(msgspec.Struct, kw_only=True):
    """Byte counts of all connections so far, including HTTP headers.

    Attributes:
        sent_bytes: Bytes written to the connections.
        received_bytes: Bytes received from them.
    """

    sent_bytes: int = 0
    received_bytes: int = 0


class _ByteCountingProtocol(policies.ProtocolWrapper):
    """Adds the bytes of one connection to its factory's counts."""

    def makeConnection(  # noqa: N802
        self, transport: interfaces.ITCPTransport
    ) -> None:
        """Disables Nagle's algorithm, which delays small requests."""
        transport.setTcpNoDelay(True)
        super().makeConnection(transport)

    def write(self, data: bytes) -> None:
        """Counts and writes the data."""
        self.factory.traffic.sent_bytes += len(data)
        super().write(data)

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        """Counts and writes several byte strings."""
        self.factory.traffic.sent_bytes += sum(map(len, data))
        super().writeSequence(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Counts the data and passes it to the wrapped protocol."""
        self.factory.traffic.received_bytes += len(data)
        super().dataReceived(data)


class _ByteCountingFactory(policies.WrappingFactory):
    """Wraps the protocols that another factory builds."""

    protocol = _ByteCountingProtocol
    noisy = False

    def __init__(
        self, wrapped: interfaces.IProtocolFactory, traffic: Traffic
    ) -> None:
        super().__init__(wrapped)
        self.traffic = traffic


@implementer(interfaces.IStreamClientEndpoint)
class ByteCountingEndpoint:
    """Wraps an endpoint and counts the bytes of its connections."""

    def __init__(
        self,
        *,
        endpoint: interfaces.IStreamClientEndpoint,
        traffic: Traffic,
    ) -> None:
        """Initializes the endpoint.

        Args:
            endpoint: The endpoint that makes the connections.
            traffic: The counts to add to.
        """
        self._endpoint = endpoint
        self._traffic = traffic

    def connect(
        self, factory: interfaces.IProtocolFactory
    ) -> defer.Deferred[protocol.Protocol]:
        """Connects with the wrapped endpoint.

        Args:
            factory: Builds the protocol of the connection.

        Returns:
            A Deferred that fires with the protocol that the factory built.
        """
        connected = self._endpoint.connect(
            _ByteCountingFactory(factory, self._traffic)
        )
        return connected.addCallback(lambda wrapper: wrapper.wrappedProtocol)
