"""Fencing tokens, which order successive owners of a failure domain."""

import hashlib

from citronmount.agent import settings as settings_lib
from citronmount.core import ids

__all__ = ["next_token"]

PROCESS_BITS = 24


def next_token(
    highest: ids.FenceToken, settings: settings_lib.AgentSettings
) -> ids.FenceToken:
    """Returns a unique fencing token that is higher than all known ones.

    Workers reject lower tokens only, so two processes that take over at the
    same time must not create equal tokens: the low bits identify the process.

    Args:
        highest: The highest known token.
        settings: Settings with the VM id and incarnation of the process.

    Returns:
        A token with the number of takeovers in the high bits and a digest of
        VM id and incarnation in the low 24 bits.
    """
    process = f"{settings.vm}\0{settings.incarnation}".encode()
    digest = hashlib.blake2b(process, digest_size=PROCESS_BITS // 8)
    low_bits = int.from_bytes(digest.digest(), "big")
    generation = (highest >> PROCESS_BITS) + 1
    return ids.FenceToken((generation << PROCESS_BITS) | low_bits)
