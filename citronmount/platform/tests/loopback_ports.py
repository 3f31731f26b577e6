"""Ports on loopback for the processes of a soak."""

import fcntl
import os
import pathlib
import random
import tempfile

from twisted.internet import error
from twisted.internet import protocol
from twisted.internet import reactor

from citronmount.platform.tests import loopback_site

__all__ = ["free_port", "listen", "lock_port"]

# Below the range from which the kernel takes ports of outgoing connections.
VM_PORTS = range(20_000, 32_000)


def listen(factory: protocol.ServerFactory) -> int:
    """Listens on a port that the kernel chooses and returns it."""
    port = reactor.listenTCP(0, factory, interface=loopback_site.HOST)
    return port.getHost().port


def free_port() -> int:
    """Returns a port that a VM started by this process can listen on.

    The VM binds it only later, and again after each restart, so this process
    keeps a lock on it against soaks that run side by side.
    """
    while True:
        number = random.SystemRandom().choice(VM_PORTS)
        if lock_port(number) and _is_free(number):
            return number


def lock_port(number: int) -> bool:
    """Locks a port until this process ends; returns False if it is locked."""
    path = pathlib.Path(tempfile.gettempdir(), f"citronmount-port-{number}")
    descriptor = os.open(path, os.O_CREAT | os.O_RDWR)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(descriptor)
        return False
    return True


def _is_free(number: int) -> bool:
    try:
        port = reactor.listenTCP(
            number, protocol.ServerFactory(), interface=loopback_site.HOST
        )
    except error.CannotListenError:
        return False
    port.stopListening()
    return True
