"""Strategies for inputs of another writer: malformed JSON, odd values."""

from collections.abc import Mapping

from hypothesis import strategies
import msgspec

__all__ = ["VALUES", "bodies", "damage", "objects"]

# Below and above the limits of the decoders.
NESTING_DEPTHS = (1, 10, 500, 3_000)

_NUMBERS = strategies.one_of(
    strategies.integers(-(1 << 70), 1 << 70),
    strategies.sampled_from(
        [0, -1, (1 << 63) - 1, 1 << 63, 1 << 64, 1e308, -1e308, 5e-324, 0.5]
    ),
    strategies.floats(allow_nan=False, allow_infinity=False),
)
_TEXTS = strategies.one_of(
    strategies.text(max_size=12),
    strategies.sampled_from(["", "ready", "\0", "\ufffd", "x" * 5_000]),
)
VALUES = strategies.recursive(
    strategies.one_of(
        strategies.none(), strategies.booleans(), _NUMBERS, _TEXTS
    ),
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=5),
        strategies.dictionaries(_TEXTS, inner, max_size=4),
    ),
    max_leaves=8,
)


def objects(
    valid: Mapping[str, object],
) -> strategies.SearchStrategy[dict[str, object]]:
    """Returns a valid object with some fields replaced, left out or added."""
    changes = strategies.dictionaries(
        strategies.one_of(strategies.sampled_from(sorted(valid)), _TEXTS),
        VALUES,
        max_size=3,
    )
    left_out = strategies.sets(
        strategies.sampled_from(sorted(valid)), max_size=2
    )
    return strategies.builds(
        lambda new, without: {
            name: value
            for name, value in {**valid, **new}.items()
            if name not in without
        },
        changes,
        left_out,
    )


def bodies(
    documents: strategies.SearchStrategy[object],
) -> strategies.SearchStrategy[bytes]:
    """Returns JSON of documents, some of it damaged, nested or of any bytes."""
    encoded = documents.map(msgspec.json.encode)
    return strategies.one_of(
        encoded,
        strategies.builds(damage, encoded, strategies.data()),
        strategies.builds(
            _nest, encoded, strategies.sampled_from(NESTING_DEPTHS)
        ),
        strategies.builds(
            _lengthen_numbers,
            encoded,
            strategies.sampled_from([1, 18, 19, 20, 400, 5_000]),
        ),
        strategies.binary(max_size=64),
    )


def damage(body: bytes, data: strategies.DataObject) -> bytes:
    """Replaces a part of a body by any bytes, which may be none."""
    start = data.draw(strategies.integers(0, len(body)))
    end = data.draw(strategies.integers(start, len(body)))
    return body[:start] + data.draw(strategies.binary(max_size=8)) + body[end:]


def _nest(body: bytes, depth: int) -> bytes:
    """Adds a field of nested arrays to an object."""
    if not body.startswith(b"{"):
        return b"[" * depth + body + b"]" * depth
    return b'{"unknown":' + b"[" * depth + b"]" * depth + b"," + body[1:]


def _lengthen_numbers(body: bytes, digits: int) -> bytes:
    return body.replace(b":1", b":1" + b"0" * digits)
