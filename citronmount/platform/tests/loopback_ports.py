"""Ports on loopback for the processes of a soak."""

import os
import random

from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import reactor

from citronmount.platform.tests import loopback_site

__all__ = ["free_port", "listen"]

# Below the range from which the kernel takes ports of outgoing connections.
VM_PORTS = range(20_000, 32_000)
PORT_SLICES = 16

_used_ports: set[int] = set()


def listen(factory: protocol.ServerFactory) -> int:
    """Listens on a port that the kernel chooses and returns it."""
    port = reactor.listenTCP(0, factory, interface=loopback_site.HOST)
    return port.getHost().port


def free_port() -> int:
    """Returns a port that a VM started by this process can listen on.

    The VM binds it only later, so a port is never returned twice, and soaks
    that run side by side draw from separate parts of the range.
    """
    own_ports = set(VM_PORTS[os.getpid() % PORT_SLICES :: PORT_SLICES])
    unused_ports = sorted(own_ports - _used_ports)
    while True:
        number = random.SystemRandom().choice(unused_ports)
        if _is_free(number):
            _used_ports.add(number)
            return number


def _is_free(number: int) -> bool:
    try:
        port = reactor.listenTCP(
            number, protocol.ServerFactory(), interface=loopback_site.HOST
        )
    except error.CannotListenError:
        return False
    port.stopListening()
    return True
