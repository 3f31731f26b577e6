"""Validation of the names of accounts, failure domains and regions."""

import unicodedata

__all__ = ["MAX_CHARACTERS", "is_valid", "normalize"]

MAX_CHARACTERS = 64
_ID_SEPARATORS = frozenset("/#")
# Initials of Unicode general categories: C is control, format and unassigned
# characters, Z is separators.
_INVISIBLE_CATEGORIES = frozenset("CZ")


def normalize(text: str) -> str:
    r"""Returns the canonical form of a name, in which names are compared.

    Args:
        text: A name as entered by a person.

    Returns:
        The name without surrounding whitespace, in Unicode form NFC.

    Example:
        >>> normalize(" Cafe\u0301 ") == "Caf\u00e9"
        True
    """
    stripped = text.strip()
    if stripped.isascii():
        return stripped
    return unicodedata.normalize("NFC", stripped)


def is_valid(name: str) -> bool:
    """Checks whether a normalized name is valid.

    A valid name has 1 to `MAX_CHARACTERS` characters, each of them visible or
    an ASCII space. ``/`` and ``#`` are not valid because they separate the
    parts of job and attempt ids.

    Args:
        name: A name returned by `normalize`.

    Returns:
        Whether the name is valid.

    Example:
        >>> is_valid("한빛 마트"), is_valid("a/b"), is_valid("")
        (True, False, False)
    """
    if not 1 <= len(name) <= MAX_CHARACTERS:
        return False
    if name.isascii():
        return name.isprintable() and _ID_SEPARATORS.isdisjoint(name)
    return all(_is_allowed(character) for character in name)


def _is_allowed(character: str) -> bool:
    invisible = unicodedata.category(character)[0] in _INVISIBLE_CATEGORIES
    return character == " " or not (invisible or character in _ID_SEPARATORS)
