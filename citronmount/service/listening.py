"""Opens the HTTP port, with TLS if the settings name a certificate."""

from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import interfaces

from citronmount.service import settings as settings_lib

__all__ = ["listen"]


def listen(
    reactor: interfaces.IReactorTCP,
    settings: settings_lib.ListenSettings,
    factory: interfaces.IProtocolFactory,
) -> defer.Deferred[interfaces.IListeningPort]:
    """Listens at the caller address.

    Args:
        reactor: The reactor to listen with.
        settings: Address, certificate and key.
        factory: Builds the protocols that serve the connections.

    Returns:
        A Deferred that fires with the open port.
    """
    host, _, port = settings.caller_address.rpartition(":")
    quote = endpoints.quoteStringArgument
    port_and_interface = f"{port}:interface={quote(host.strip('[]'))}"
    if settings.tls_certificate_path and settings.tls_key_path:
        key = quote(settings.tls_key_path)
        certificate = quote(settings.tls_certificate_path)
        description = (
            f"ssl:{port_and_interface}:privateKey={key}:certKey={certificate}"
        )
    else:
        description = f"tcp:{port_and_interface}"
    return endpoints.serverFromString(reactor, description).listen(factory)
