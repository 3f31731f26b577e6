"""An HTTP agent that connects to IP addresses and counts bytes."""

from twisted.internet import abstract
from twisted.internet import endpoints
from twisted.internet import interfaces
from twisted.web import client as web_client
from twisted.web import iweb
from zope.interface import implementer

from citronmount.clients import byte_counting

__all__ = ["make_http_agent"]

CONNECT_TIMEOUT_MS = 500

_MS_PER_S = 1_000


@implementer(iweb.IAgentEndpointFactory)
class _NumericEndpointFactory:
    """Builds endpoints for IP addresses, without a name resolver.

    Twisted's resolver would use a pool of threads.
    """

    def __init__(
        self, reactor: interfaces.IReactorTCP, traffic: byte_counting.Traffic
    ) -> None:
        self._reactor = reactor
        self._traffic = traffic

    def endpointForURI(  # noqa: N802
        self, uri: web_client.URI
    ) -> interfaces.IStreamClientEndpoint:
        """Returns the endpoint of a URI whose host is an IP address."""
        host = uri.host.decode("ascii").strip("[]")
        endpoint_type = (
            endpoints.TCP6ClientEndpoint
            if abstract.isIPv6Address(host)
            else endpoints.TCP4ClientEndpoint
        )
        timeout_s = CONNECT_TIMEOUT_MS / _MS_PER_S
        endpoint = endpoint_type(
            self._reactor, host, uri.port, timeout=timeout_s
        )
        return byte_counting.ByteCountingEndpoint(
            endpoint=endpoint, traffic=self._traffic
        )


def make_http_agent(
    reactor: interfaces.IReactorTCP,
    pool: web_client.HTTPConnectionPool,
    traffic: byte_counting.Traffic,
) -> iweb.IAgent:
    """Returns an HTTP agent for URIs whose hosts are IP addresses.

    Args:
        reactor: The reactor to connect with.
        pool: The pool of persistent connections.
        traffic: The byte counts of all connections.

    Returns:
        The agent.
    """
    return web_client.Agent.usingEndpointFactory(
        reactor, _NumericEndpointFactory(reactor, traffic), pool
    )
