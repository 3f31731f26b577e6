"""Rendezvous hashing: who does what, without asking anyone."""

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
    """Returns the candidates in the order in which they serve a key.

    Args:
        key: What is to be served.
        candidates: Who may serve it; their order does not matter.

    Returns:
        All candidates, first choice first. Removing one leaves the order of
        the others.

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
    """Returns the first choice for a key.

    Args:
        key: What is to be served.
        candidates: Who may serve it.

    Returns:
        The first of `rank`, or None if there is no candidate.

    Example:
        >>> choose("kr-a", [])
    """
    return max(
        candidates,
        key=lambda candidate: (_weight(key, candidate), candidate),
        default=None,
    )
