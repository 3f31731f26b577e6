"""Tests of the HTTP port, with and without TLS."""

import datetime
import ipaddress
import pathlib
import tempfile
import unittest

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid
from twisted.internet import defer
from twisted.internet import endpoints
from twisted.internet import protocol
from twisted.internet import reactor
from twisted.internet import ssl

from citronmount.service import listening
from citronmount.service import settings as settings_lib
from citronmount.testing import reactor_loop

_HOST = "127.0.0.1"
_GREETING = b"hello"


class _Greeter(protocol.Protocol):
    """Sends a greeting to each connection and closes it."""

    def connectionMade(self) -> None:  # noqa: N802
        self.transport.write(_GREETING)
        self.transport.loseConnection()


class _Reader(protocol.Protocol):
    """Collects the received data until the connection is closed."""

    def __init__(self) -> None:
        self.data = b""
        self.closed = defer.Deferred()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self.data += data

    def connectionLost(self, reason: object) -> None:  # noqa: N802
        self.closed.callback(None)


class ListeningTest(unittest.TestCase):
    """What a client receives from the port."""

    def setUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)

    def test_port_without_a_certificate_speaks_plain_tcp(self) -> None:
        settings = settings_lib.ListenSettings(
            caller_address=f"{_HOST}:0", peer_address=f"{_HOST}:0"
        )
        self.assertEqual(
            _GREETING, reactor_loop.run(_receive_greeting(settings, None))
        )

    def test_port_uses_the_certificate_of_the_settings(self) -> None:
        certificate, settings = self._make_tls_settings()
        tls_options = ssl.optionsForClientTLS(
            _HOST, trustRoot=ssl.Certificate.loadPEM(certificate)
        )
        self.assertEqual(
            _GREETING,
            reactor_loop.run(_receive_greeting(settings, tls_options)),
        )

    def test_client_that_trusts_another_certificate_receives_nothing(
        self,
    ) -> None:
        other_certificate, _ = self._make_tls_settings()
        _, settings = self._make_tls_settings()
        tls_options = ssl.optionsForClientTLS(
            _HOST, trustRoot=ssl.Certificate.loadPEM(other_certificate)
        )
        self.assertEqual(
            b"", reactor_loop.run(_receive_greeting(settings, tls_options))
        )

    def _make_tls_settings(self) -> tuple[bytes, settings_lib.ListenSettings]:
        certificate, key = _make_self_signed()
        # An unquoted colon would end the path in an endpoint description.
        certificate_path = self.directory / "a:certificate.pem"
        key_path = self.directory / "a:key.pem"
        certificate_path.write_bytes(certificate)
        key_path.write_bytes(key)
        return certificate, settings_lib.ListenSettings(
            caller_address=f"{_HOST}:0",
            peer_address=f"{_HOST}:0",
            tls_certificate_path=str(certificate_path),
            tls_key_path=str(key_path),
        )


async def _receive_greeting(
    settings: settings_lib.ListenSettings, tls_options: object | None
) -> bytes:
    port = await listening.listen(
        reactor, settings, protocol.Factory.forProtocol(_Greeter)
    )
    endpoint = endpoints.TCP4ClientEndpoint(reactor, _HOST, port.getHost().port)
    if tls_options is not None:
        endpoint = endpoints.wrapClientTLS(tls_options, endpoint)
    client = await endpoint.connect(protocol.Factory.forProtocol(_Reader))
    await client.closed
    await port.stopListening()
    return client.data


def _make_self_signed() -> tuple[bytes, bytes]:
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, "caller")])
    now = datetime.datetime.now(datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address(_HOST))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    return certificate.public_bytes(encoding), key.private_bytes(
        encoding,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
