"""Tests of the peer transport over loopback."""

import unittest

from twisted.internet import reactor
import zmq

from citronmount.core import ids
from citronmount.peers import curve_keys
from citronmount.peers import peer_messages
from citronmount.peers import peer_transport
from citronmount.peers import socket_reader
from citronmount.testing import reactor_loop

_ANY_PORT = "127.0.0.1:0"


def _ack(number: int) -> peer_messages.Acknowledge:
    return peer_messages.Acknowledge(call=ids.CallId(str(number)))


class _Node:
    """A transport that records the messages it receives."""

    def __init__(
        self,
        case: unittest.TestCase,
        name: str,
        peer_keys: curve_keys.PeerKeys | None,
        address: str = _ANY_PORT,
    ) -> None:
        self.received: list[tuple[str, peer_messages.PeerMessage]] = []
        self.transport = peer_transport.PeerTransport(
            reactor=reactor,
            vm=ids.VmId(name),
            bind_address=address,
            keys=peer_keys,
            on_message=lambda vm, body: self.received.append((vm, body)),
        )
        self.transport.open()
        case.addCleanup(self.transport.close)

    def connect(self, *others: "_Node") -> None:
        """Makes the other nodes the peers of this node."""
        self.transport.set_peers(
            {other.transport.vm: other.transport.address for other in others}
        )

    async def send_until_received(
        self, other: "_Node", number: int = 0
    ) -> None:
        """Repeats a message until the other node has received one more."""
        before = len(other.received)

        def arrived() -> bool:
            if len(other.received) == before:
                self.transport.send(other.transport.vm, _ack(number))
            return len(other.received) > before

        await reactor_loop.wait_until(arrived)


class PeerTransportTest(unittest.TestCase):
    """Tests messages between transports of one process."""

    def test_messages_arrive_with_their_sender(self) -> None:
        for shared_keys in (curve_keys.generate_keys(), None):
            with self.subTest(encrypted=shared_keys is not None):
                a, b = (_Node(self, name, shared_keys) for name in "ab")
                a.connect(a, b)
                b.connect(a)
                reactor_loop.run(a.send_until_received(b, 7))
                reactor_loop.run(b.send_until_received(a, 8))
                self.assertEqual(("a", _ack(7)), b.received[0])
                self.assertEqual(("b", _ack(8)), a.received[0])

    def test_backlog_larger_than_a_batch_arrives_in_order(self) -> None:
        # ZeroMQ's descriptor is edge-triggered: a reader that stops after one
        # batch is not woken again for the messages that are still queued.
        shared_keys = curve_keys.generate_keys()
        a, b = (_Node(self, name, shared_keys) for name in "ab")
        a.connect(b)
        reactor_loop.run(a.send_until_received(b))
        del b.received[:]
        count = socket_reader.BATCH_MESSAGES * 3 + 1
        sent = [a.transport.send("b", _ack(n)) for n in range(count)]
        self.assertTrue(all(sent))
        reactor_loop.run(
            reactor_loop.wait_until(lambda: len(b.received) >= count)
        )
        last = [body for _, body in b.received][-count:]
        self.assertEqual([_ack(n) for n in range(count)], last)

    def test_untrusted_key_is_refused_and_counted(self) -> None:
        trusted, other = curve_keys.generate_keys(), curve_keys.generate_keys()
        intruder_keys = {
            "does not know the server's key": other,
            "knows the server's key": curve_keys.PeerKeys(
                public_key=other.public_key,
                secret_key=other.secret_key,
                accepted_keys=(trusted.public_key,),
            ),
        }
        for name, peer_keys in intruder_keys.items():
            with self.subTest(name):
                node = _Node(self, "a", trusted)
                intruder = _Node(self, "x", peer_keys)
                intruder.connect(node)

                def refused(node=node, intruder=intruder) -> bool:
                    intruder.transport.send("a", _ack(1))
                    return node.transport.counters.keys_refused > 1

                reactor_loop.run(reactor_loop.wait_until(refused))
                self.assertEqual([], node.received)

    def test_link_finds_the_accepted_key_that_the_peer_uses(self) -> None:
        old, new = curve_keys.generate_keys(), curve_keys.generate_keys()
        a = _Node(self, "a", _with_accepted_key(old, new))
        b = _Node(self, "b", _with_accepted_key(new, old))
        a.connect(b)
        b.connect(a)
        reactor_loop.run(a.send_until_received(b))
        reactor_loop.run(b.send_until_received(a))

    def test_malformed_messages_are_dropped_and_counted(self) -> None:
        node = _Node(self, "a", None)
        malformed_messages = (
            [b""],  # no header
            [b"\x01b"],  # no body
            [b"\x01b\xc1"],  # invalid MessagePack
            # An empty VM name, then a name that is not UTF-8.
            [b"\x00" + peer_messages.encode(_ack(1))],
            [b"\x01\xff" + peer_messages.encode(_ack(1))],
            # Two frames, then MessagePack nested too deeply.
            [b"\x01b", peer_messages.encode(_ack(1))],
            [b"\x01b\x93\xabAcknowledge\xa1x" + b"\x91" * 100_000],
        )
        with zmq.Context() as context, context.socket(zmq.PUSH) as socket:
            socket.connect(f"tcp://{node.transport.address}")
            for frames in malformed_messages:
                socket.send_multipart(frames)
            reactor_loop.run(
                reactor_loop.wait_until(
                    lambda: (
                        node.transport.counters.malformed
                        == len(malformed_messages)
                    )
                )
            )
        self.assertEqual([], node.received)

    def test_reconnects_to_a_restarted_peer(self) -> None:
        shared_keys = curve_keys.generate_keys()
        a, b = (_Node(self, name, shared_keys) for name in "ab")
        a.connect(b)
        reactor_loop.run(a.send_until_received(b))
        address = b.transport.address
        b.transport.close()
        restarted = _Node(self, "b", shared_keys, address)
        reactor_loop.run(a.send_until_received(restarted))

    def test_send_to_unknown_or_unconnected_peer_is_dropped(self) -> None:
        node = _Node(self, "a", curve_keys.generate_keys())
        self.assertFalse(node.transport.send("b", _ack(1)))
        node.transport.set_peers({"b": "127.0.0.1:9"})
        self.assertFalse(node.transport.send("b", _ack(1)))
        self.assertEqual(2, node.transport.counters.dropped_sends)
        node.transport.set_peers({})
        self.assertFalse(node.transport.send("b", _ack(1)))


def _with_accepted_key(
    own: curve_keys.PeerKeys, other: curve_keys.PeerKeys
) -> curve_keys.PeerKeys:
    return curve_keys.PeerKeys(
        public_key=own.public_key,
        secret_key=own.secret_key,
        accepted_keys=(other.public_key,),
    )
