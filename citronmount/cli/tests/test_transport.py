import datetime
import ipaddress
import unittest

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
import msgspec
from twisted.internet import protocol
from twisted.internet import ssl
from twisted.web import resource
from twisted.web import server

from citronmount.cli import calls
from citronmount.cli import transport

_HOST = "127.0.0.1"
_CALL = calls.Call(
    method="POST",
    path=("v1", "한 빛/1"),
    query={"a": "x y&z"},
    body=b"body",
    timeout_ms=60_000,
)


class _Echo(resource.Resource):
    def getChild(self, path, request):  # noqa: N802
        return self

    def render(self, request):
        path = request.uri + b" "
        return request.method + b" " + path + request.content.read()


class _Silent(protocol.Protocol):
    pass


class _Disconnecting(protocol.Protocol):
    def dataReceived(self, data):  # noqa: N802
        self.transport.loseConnection()


def _self_signed_certificate():
    """Returns a key and a self-signed certificate, both in PEM."""
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name(
        [x509.NameAttribute(x509.NameOID.COMMON_NAME, "citronmount")]
    )
    subject_alternative = x509.IPAddress(ipaddress.ip_address(_HOST))
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(now - datetime.timedelta(days=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(
            x509.SubjectAlternativeName([subject_alternative]), False
        )
        .sign(key, hashes.SHA256())
    )
    encoding = serialization.Encoding.PEM
    key_pem = key.private_bytes(
        encoding,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    return key_pem, certificate.public_bytes(encoding)


class TransportTest(unittest.TestCase):
    def send(self, factory, *, host=_HOST, tls=None, ca_pem=None, call=_CALL):
        """Starts a server, sends one call to it and returns the reply."""

        async def listen_and_send(reactor):
            if tls is None:
                port = reactor.listenTCP(0, factory, interface=host)
            else:
                options = ssl.PrivateCertificate.loadPEM(tls).options()
                port = reactor.listenSSL(0, factory, options, interface=host)
            url_host = f"[{host}]" if ":" in host else host
            address = f"{url_host}:{port.getHost().port}"
            client_transport = transport.Transport(
                reactor=reactor, ca_pem=ca_pem
            )
            try:
                return await client_transport.send(address, call)
            finally:
                await port.stopListening()

        return transport.run(listen_and_send)

    def assert_echo(self, reply):
        self.assertEqual(reply.status, 200)
        path = b"/v1/%ED%95%9C%20%EB%B9%9B%2F1?a=x%20y%26z"
        self.assertEqual(reply.body, b"POST " + path + b" body")

    def test_calls_reach_ipv4_and_ipv6_addresses(self):
        for host in (_HOST, "::1"):
            with self.subTest(host=host):
                site = server.Site(_Echo())
                self.assert_echo(self.send(site, host=host))

    def test_tls_trusts_only_the_given_ca(self):
        key_pem, certificate_pem = _self_signed_certificate()
        _, other_pem = _self_signed_certificate()
        tls = key_pem + certificate_pem
        reply = self.send(server.Site(_Echo()), tls=tls, ca_pem=certificate_pem)
        self.assert_echo(reply)
        with self.assertRaises(calls.NoAnswerError):
            self.send(server.Site(_Echo()), tls=tls, ca_pem=other_pem)

    def test_timeouts_and_lost_connections_report_that_the_call_was_sent(self):
        short_call = msgspec.structs.replace(_CALL, timeout_ms=100)
        for protocol_type, call in (
            (_Silent, short_call),
            (_Disconnecting, _CALL),
        ):
            with self.subTest(protocol_type=protocol_type):
                factory = protocol.Factory.forProtocol(protocol_type)
                with self.assertRaises(calls.NoAnswerError) as caught:
                    self.send(factory, call=call)
                self.assertTrue(caught.exception.sent)
                self.assertNotIn("Failure", str(caught.exception))

    def test_a_refused_connection_reports_that_nothing_was_sent(self):
        async def send_to_closed_port(reactor):
            client_transport = transport.Transport(reactor=reactor)
            return await client_transport.send(f"{_HOST}:1", _CALL)

        with self.assertRaises(calls.NoAnswerError) as caught:
            transport.run(send_to_closed_port)
        self.assertFalse(caught.exception.sent)


if __name__ == "__main__":
    unittest.main()
