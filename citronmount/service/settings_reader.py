"""Reads a TOML settings file into a struct and collects every fault."""

from collections.abc import Iterator
from collections.abc import Mapping
import difflib
import os
import pathlib
import tomllib
import types
import typing

import msgspec

from citronmount.core import codes
from citronmount.service import settings_faults
from citronmount.service import settings_formats

__all__ = ["read"]

_MAX_FILE_BYTES = 1 << 20
_MIN_SIMILARITY = 0.5

Faults = tuple[settings_faults.SettingFault, ...]

# Dotted key, result code and description of the expected value.
FaultRow = tuple[str, codes.ResultCode, str]


def read(
    path: str | os.PathLike[str], schema: type[msgspec.Struct]
) -> tuple[msgspec.Struct | None, Faults]:
    """Reads a settings file.

    Args:
        path: The TOML file.
        schema: The struct type of the settings. Each field is a section and
            has a struct type.

    Returns:
        The settings and no faults, or None and all faults, sorted by key.
    """
    file = os.fspath(path)
    tables, rows = _parse(file)
    if tables is not None:
        rows = list(_section_faults(tables, schema))
    if rows:
        return None, _make_faults(file, rows)
    return msgspec.convert(tables, schema, strict=True), ()


def _make_faults(file: str, rows: list[FaultRow]) -> Faults:
    return tuple(
        settings_faults.SettingFault(
            file=file, key=key, code=code, expected=expected
        )
        for key, code, expected in sorted(rows)
    )


def _parse(file: str) -> tuple[dict[str, object] | None, list[FaultRow]]:
    file_code = codes.ResultCode.SETTING_FILE
    try:
        with pathlib.Path(file).open("rb") as stream:
            data = stream.read(_MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        return None, [("", file_code, f"a file that can be read: {error}")]
    if len(data) > _MAX_FILE_BYTES:
        return None, [
            ("", file_code, f"a file of at most {_MAX_FILE_BYTES} bytes")
        ]
    try:
        return tomllib.loads(data.decode("utf-8-sig")), []
    except (ValueError, RecursionError) as error:
        expected = f"valid TOML in UTF-8: {error}"
        return None, [("", codes.ResultCode.SETTING_SYNTAX, expected)]


def _section_faults(
    tables: Mapping[str, object], schema: type[msgspec.Struct]
) -> Iterator[FaultRow]:
    fields = msgspec.structs.fields(schema)
    yield from _unknown_key_faults(tables, [f.name for f in fields], "")
    for field in fields:
        table = tables.get(field.name, {})
        if isinstance(table, Mapping):
            yield from _table_faults(field.name, table, field.type)
        else:
            expected = f"a table, written as [{field.name}]"
            yield field.name, codes.ResultCode.SETTING_TYPE, expected


def _table_faults(
    section: str, table: Mapping[str, object], schema: type[msgspec.Struct]
) -> Iterator[FaultRow]:
    fields = msgspec.structs.fields(schema)
    yield from _unknown_key_faults(
        table, [f.name for f in fields], f"{section}."
    )
    for field in fields:
        key = f"{section}.{field.name}"
        if field.name in table:
            yield from _value_faults(key, table[field.name], field.type)
        elif field.required:
            expected = f"{_describe(field.type)} (the key is required)"
            yield key, codes.ResultCode.SETTING_MISSING, expected


def _unknown_key_faults(
    table: Mapping[str, object], known: list[str], prefix: str
) -> Iterator[FaultRow]:
    for key in table:
        if key not in known:
            expected = _expected_key(key, known)
            yield f"{prefix}{key}", codes.ResultCode.SETTING_UNKNOWN, expected


def _expected_key(key: str, known: list[str]) -> str:
    """Suggests a known key, preferably one that differs only in its unit."""
    stem = key.rpartition("_")[0]
    same_stem = [k for k in known if stem and k.rpartition("_")[0] == stem]
    candidates = same_stem or difflib.get_close_matches(
        key, known, 1, _MIN_SIMILARITY
    )
    if candidates:
        return f"a known key, perhaps {candidates[0]}"
    return f"a known key: {', '.join(known)}"


def _value_faults(
    key: str, value: object, field_type: object
) -> Iterator[FaultRow]:
    """Yields the faults of one value.

    The value is first converted without constraints, so that a wrong type gets
    another result code than a value out of range.
    """
    unconstrained = _without_constraints(field_type)
    try:
        msgspec.convert(value, unconstrained, strict=True)
    except (msgspec.ValidationError, RecursionError):
        yield key, codes.ResultCode.SETTING_TYPE, _describe(field_type)
        return
    try:
        msgspec.convert(value, field_type, strict=True)
    except msgspec.ValidationError:
        yield key, codes.ResultCode.SETTING_RANGE, _describe(field_type)
        return
    yield from _format_faults(key, value, field_type)


def _format_faults(
    key: str, value: object, field_type: object
) -> Iterator[FaultRow]:
    name = _format_of(field_type)
    if name is None:
        return
    keyed_texts = (
        [(f"{key}[{i}]", item) for i, item in enumerate(value)]
        if isinstance(value, list)
        else [(key, value)]
    )
    for text_key, text in keyed_texts:
        fault = settings_formats.fault_of(name, text)
        if fault is not None:
            yield text_key, *fault


def _without_constraints(field_type: object) -> object:
    """Returns a type with every `Annotated` replaced by its base type."""
    if typing.get_origin(field_type) is typing.Annotated:
        return _without_constraints(typing.get_args(field_type)[0])
    if isinstance(field_type, types.UnionType) or (
        typing.get_origin(field_type) is typing.Union
    ):
        members = [
            _without_constraints(arg) for arg in typing.get_args(field_type)
        ]
        return typing.Union[tuple(members)]  # noqa: UP007
    if typing.get_origin(field_type) is tuple:
        return tuple[_without_constraints(typing.get_args(field_type)[0]), ...]
    return field_type


def _meta_of(field_type: object) -> msgspec.Meta | None:
    """Returns the first `msgspec.Meta` in a type, searched depth first."""
    if typing.get_origin(field_type) is typing.Annotated:
        return field_type.__metadata__[0]
    metas = (_meta_of(arg) for arg in typing.get_args(field_type))
    return next((meta for meta in metas if meta is not None), None)


def _format_of(field_type: object) -> str | None:
    meta = _meta_of(field_type)
    return (meta.extra or {}).get("format") if meta else None


def _describe(field_type: object) -> str:
    """Returns a human-readable description of the values of a type."""
    plain = _without_constraints(field_type)
    values = [m.value for m in getattr(plain, "__members__", {}).values()]
    if values:
        return f"one of {', '.join(values)}"
    name = _format_of(field_type)
    if name is not None:
        return settings_formats.expected_of(name)
    meta = _meta_of(field_type)
    if meta is None:
        return _TYPE_NAMES[plain]
    lower = meta.ge if meta.ge is not None else f"above {meta.gt}"
    return f"{_TYPE_NAMES[plain]} from {lower} to {meta.le}"


_TYPE_NAMES = {
    bool: "true or false",
    int: "an integer",
    float: "a number",
}
