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
    """A transport and what it received."""

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

    def link(self, *others: "_Node") -> None:
        """Connects to other nodes."""
        self.transport.set_peers(
            {other.transport.vm: other.transport.address for other in others}
        )

    async def send_one(self, other: "_Node", number: int = 0) -> None:
        """Sends until the other node has got it."""
        got = len(other.received)

        def arrived() -> bool:
            if len(other.received) == got:
                self.transport.send(other.transport.vm, _ack(number))
            return len(other.received) > got

        await reactor_loop.wait_until(arrived)


class TransportTest(unittest.TestCase):
    """Messages between transports of one process."""

    def test_exchange(self) -> None:
        for shared in (curve_keys.generate_keys(), None):
            with self.subTest(encrypted=shared is not None):
                a, b = (_Node(self, name, shared) for name in "ab")
                a.link(a, b)
                b.link(a)
                reactor_loop.run(a.send_one(b, 7))
                reactor_loop.run(b.send_one(a, 8))
                self.assertEqual(("a", _ack(7)), b.received[0])
                self.assertEqual(("b", _ack(8)), a.received[0])

    def test_backlog_larger_than_a_batch_arrives_in_order(self) -> None:
        shared = curve_keys.generate_keys()
        a, b = (_Node(self, name, shared) for name in "ab")
        a.link(b)
        reactor_loop.run(a.send_one(b))
        del b.received[:]
        count = socket_reader.BATCH_MESSAGES * 3 + 1
        sent = [a.transport.send("b", _ack(n)) for n in range(count)]
        self.assertTrue(all(sent))
        reactor_loop.run(
            reactor_loop.wait_until(lambda: len(b.received) >= count)
        )
        last = [body for _, body in b.received][-count:]
        self.assertEqual([_ack(n) for n in range(count)], last)

    def test_wrong_key_is_refused_and_counted(self) -> None:
        right, wrong = curve_keys.generate_keys(), curve_keys.generate_keys()
        strangers = {
            "knows no key here": wrong,
            "knows the key here": curve_keys.PeerKeys(
                public_key=wrong.public_key,
                secret_key=wrong.secret_key,
                accepted_keys=(right.public_key,),
            ),
        }
        for name, stranger in strangers.items():
            with self.subTest(name):
                node = _Node(self, "a", right)
                intruder = _Node(self, "x", stranger)
                intruder.link(node)

                def refused(node=node, intruder=intruder) -> bool:
                    intruder.transport.send("a", _ack(1))
                    return node.transport.counters.keys_refused > 1

                reactor_loop.run(reactor_loop.wait_until(refused))
                self.assertEqual([], node.received)

    def test_other_accepted_key_is_found(self) -> None:
        old, new = curve_keys.generate_keys(), curve_keys.generate_keys()
        a = _Node(self, "a", _accepting(old, new))
        b = _Node(self, "b", _accepting(new, old))
        a.link(b)
        b.link(a)
        reactor_loop.run(a.send_one(b))
        reactor_loop.run(b.send_one(a))

    def test_malformed_messages_are_dropped_and_counted(self) -> None:
        node = _Node(self, "a", None)
        bodies = (
            [b""],
            [b"\x01b"],
            [b"\x01b\xc1"],
            [b"\x00" + peer_messages.encode(_ack(1))],
            [b"\x01\xff" + peer_messages.encode(_ack(1))],
            [b"\x01b", peer_messages.encode(_ack(1))],
            [b"\x01b\x93\xabAcknowledge\xa1x" + b"\x91" * 100_000],
        )
        with zmq.Context() as context, context.socket(zmq.PUSH) as socket:
            socket.connect(f"tcp://{node.transport.address}")
            for frames in bodies:
                socket.send_multipart(frames)
            reactor_loop.run(
                reactor_loop.wait_until(
                    lambda: node.transport.counters.malformed == len(bodies)
                )
            )
        self.assertEqual([], node.received)

    def test_reconnects_to_a_peer_that_came_back(self) -> None:
        shared = curve_keys.generate_keys()
        a, b = (_Node(self, name, shared) for name in "ab")
        a.link(b)
        reactor_loop.run(a.send_one(b))
        address = b.transport.address
        b.transport.close()
        again = _Node(self, "b", shared, address)
        reactor_loop.run(a.send_one(again))

    def test_unknown_or_unconnected_peer_costs_a_drop_only(self) -> None:
        node = _Node(self, "a", curve_keys.generate_keys())
        self.assertFalse(node.transport.send("b", _ack(1)))
        node.transport.set_peers({"b": "127.0.0.1:9"})
        self.assertFalse(node.transport.send("b", _ack(1)))
        self.assertEqual(2, node.transport.counters.dropped_sends)
        node.transport.set_peers({})
        self.assertFalse(node.transport.send("b", _ack(1)))


def _accepting(
    own: curve_keys.PeerKeys, other: curve_keys.PeerKeys
) -> curve_keys.PeerKeys:
    return curve_keys.PeerKeys(
        public_key=own.public_key,
        secret_key=own.secret_key,
        accepted_keys=(other.public_key,),
    )
