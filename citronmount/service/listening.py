"""Listens for callers, with TLS if the settings name a certificate."""

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
        factory: Serves the connections.

    Returns:
        Fires with the open port.
    """
    host, _, port = settings.caller_address.rpartition(":")
    quote = endpoints.quoteStringArgument
    place = f"{port}:interface={quote(host.strip('[]'))}"
    if settings.tls_certificate_path and settings.tls_key_path:
        key = quote(settings.tls_key_path)
        certificate = quote(settings.tls_certificate_path)
        text = f"ssl:{place}:privateKey={key}:certKey={certificate}"
    else:
        text = f"tcp:{place}"
    return endpoints.serverFromString(reactor, text).listen(factory)
