"""Rendezvous hashing: assigns keys to candidates without coordination."""

from collections.abc import Iterable
import hashlib

__all__ = ["choose", "rank"]


def _weight(key: str, candidate: str) -> bytes:
    digest = hashlib.blake2b(digest_size=8)
    digest.update(key.encode())
    digest.update(b"\0")
    digest.update(candidate.encode())
    return digest.digest()


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Returns all candidates in order of preference for a key.

    Args:
        key: The key to assign, such as the name of a worker or a stream.
        candidates: Names that the key may be assigned to, in any order.

    Returns:
        The candidates, the preferred one first. Removing a candidate does
        not change the order of the others.

    Example:
        >>> rank("kr-a", ["vm-1", "vm-2"]) == rank("kr-a", ["vm-2", "vm-1"])
        True

    Notes:
        Highest random weight hashing, Thaler and Ravishankar, IEEE/ACM
        Transactions on Networking 1998.
    """
    return sorted(
        candidates,
        key=lambda candidate: (_weight(key, candidate), candidate),
        reverse=True,
    )


def choose(key: str, candidates: Iterable[str]) -> str | None:
    """Returns the candidate that a key is assigned to.

    Args:
        key: The key to assign.
        candidates: Names that the key may be assigned to, in any order.

    Returns:
        The first element of `rank`, or None if there is no candidate.

    Example:
        >>> choose("kr-a", [])
    """
    return max(
        candidates,
        key=lambda candidate: (_weight(key, candidate), candidate),
        default=None,
    )
