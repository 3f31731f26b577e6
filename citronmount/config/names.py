"""Names of client accounts, failure domains and regions."""

import unicodedata

__all__ = ["MAX_CHARACTERS", "is_valid", "normalize"]

MAX_CHARACTERS = 64
_RESERVED = frozenset("/#")
_HIDDEN_CATEGORIES = frozenset("CZ")


def normalize(text: str) -> str:
    r"""Returns a name in the one form in which names are compared.

    Args:
        text: A name as somebody typed it.

    Returns:
        The name without surrounding space, in Unicode form NFC.

    Example:
        >>> normalize(" Cafe\u0301 ") == "Caf\u00e9"
        True
    """
    stripped = text.strip()
    if stripped.isascii():
        return stripped
    return unicodedata.normalize("NFC", stripped)


def is_valid(name: str) -> bool:
    """Tells whether a normalized name may be used.

    Names may hold any visible character and single spaces, but neither ``/``
    nor ``#``, which separate the parts of job and attempt ids.

    Args:
        name: A name made by `normalize`.

    Returns:
        Whether it is valid.

    Example:
        >>> is_valid("한빛 마트"), is_valid("a/b"), is_valid("")
        (True, False, False)
    """
    if not 1 <= len(name) <= MAX_CHARACTERS:
        return False
    if name.isascii():
        return name.isprintable() and _RESERVED.isdisjoint(name)
    return all(_is_visible(char) for char in name)


def _is_visible(char: str) -> bool:
    hidden = unicodedata.category(char)[0] in _HIDDEN_CATEGORIES
    return char == " " or not (hidden or char in _RESERVED)
