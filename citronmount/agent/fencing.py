"""Fencing tokens, which order the schedulers of a failure domain."""

import hashlib

from citronmount.agent import settings as settings_lib
from citronmount.core import ids

__all__ = ["next_token"]

HOLDER_BITS = 24


def next_token(
    highest: ids.FenceToken, settings: settings_lib.AgentSettings
) -> ids.FenceToken:
    """Returns a token above every known one that no other process makes.

    Workers refuse only lower tokens, so two processes that take over at the
    same moment must not make the same one: the low bits name the process.

    Args:
        highest: The highest token known.
        settings: Names the process.

    Returns:
        The next take-over in the high bits, a digest of VM and incarnation in
        the low ones.
    """
    holder = f"{settings.vm}\0{settings.incarnation}".encode()
    digest = hashlib.blake2b(holder, digest_size=HOLDER_BITS // 8)
    low_bits = int.from_bytes(digest.digest(), "big")
    take_over = (highest >> HOLDER_BITS) + 1
    return ids.FenceToken((take_over << HOLDER_BITS) | low_bits)
