"""Reads a TOML file into a struct of sections and gathers every fault."""

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
_SIMILAR = 0.5

Faults = tuple[settings_faults.SettingFault, ...]
Found = tuple[str, codes.ResultCode, str]


def read(
    path: str | os.PathLike[str], schema: type[msgspec.Struct]
) -> tuple[msgspec.Struct | None, Faults]:
    """Reads a settings file.

    Args:
        path: The TOML file.
        schema: A struct whose fields are structs, one for each section.

    Returns:
        The settings, or None beside every fault found.
    """
    file = os.fspath(path)
    tables, found = _parse(file)
    if tables is not None:
        found = list(_faults_of_sections(tables, schema))
    if found:
        return None, _sorted_faults(file, found)
    return msgspec.convert(tables, schema, strict=True), ()


def _sorted_faults(file: str, found: list[Found]) -> Faults:
    return tuple(
        settings_faults.SettingFault(
            file=file, key=key, code=code, expected=expected
        )
        for key, code, expected in sorted(found)
    )


def _parse(file: str) -> tuple[dict[str, object] | None, list[Found]]:
    file_code = codes.ResultCode.SETTING_FILE
    try:
        with pathlib.Path(file).open("rb") as stream:
            data = stream.read(_MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        return None, [("", file_code, f"a readable file: {error}")]
    if len(data) > _MAX_FILE_BYTES:
        return None, [("", file_code, f"at most {_MAX_FILE_BYTES} bytes")]
    try:
        return tomllib.loads(data.decode("utf-8-sig")), []
    except (ValueError, RecursionError) as error:
        expected = f"valid TOML in UTF-8: {error}"
        return None, [("", codes.ResultCode.SETTING_SYNTAX, expected)]


def _faults_of_sections(
    tables: Mapping[str, object], schema: type[msgspec.Struct]
) -> Iterator[Found]:
    fields = msgspec.structs.fields(schema)
    yield from _unknown_keys(tables, [f.name for f in fields], "")
    for field in fields:
        table = tables.get(field.name, {})
        if isinstance(table, Mapping):
            yield from _faults_of_section(field.name, table, field.type)
        else:
            expected = f"a table, written as [{field.name}]"
            yield field.name, codes.ResultCode.SETTING_TYPE, expected


def _faults_of_section(
    section: str, table: Mapping[str, object], schema: type[msgspec.Struct]
) -> Iterator[Found]:
    fields = msgspec.structs.fields(schema)
    yield from _unknown_keys(table, [f.name for f in fields], f"{section}.")
    for field in fields:
        key = f"{section}.{field.name}"
        if field.name in table:
            yield from _faults_of_value(key, table[field.name], field.type)
        elif field.required:
            expected = f"{_describe(field.type)} (the key is required)"
            yield key, codes.ResultCode.SETTING_MISSING, expected


def _unknown_keys(
    table: Mapping[str, object], known: list[str], prefix: str
) -> Iterator[Found]:
    for key in table:
        if key not in known:
            expected = _suggestion(key, known)
            yield f"{prefix}{key}", codes.ResultCode.SETTING_UNKNOWN, expected


def _suggestion(key: str, known: list[str]) -> str:
    """Returns the known key that is meant, which may differ in its unit."""
    stem = key.rpartition("_")[0]
    same_stem = [k for k in known if stem and k.rpartition("_")[0] == stem]
    near = same_stem or difflib.get_close_matches(key, known, 1, _SIMILAR)
    if near:
        return f"a known key, perhaps {near[0]}"
    return f"a known key: {', '.join(known)}"


def _faults_of_value(key: str, value: object, kind: object) -> Iterator[Found]:
    plain = _without_bounds(kind)
    try:
        msgspec.convert(value, plain, strict=True)
    except (msgspec.ValidationError, RecursionError):
        yield key, codes.ResultCode.SETTING_TYPE, _describe(kind)
        return
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError:
        yield key, codes.ResultCode.SETTING_RANGE, _describe(kind)
        return
    yield from _format_faults(key, value, kind)


def _format_faults(key: str, value: object, kind: object) -> Iterator[Found]:
    name = _format_of(kind)
    if name is None:
        return
    indexed = (
        [(f"{key}[{i}]", item) for i, item in enumerate(value)]
        if isinstance(value, list)
        else [(key, value)]
    )
    for place, text in indexed:
        fault = settings_formats.fault_of(name, text)
        if fault is not None:
            yield place, *fault


def _without_bounds(kind: object) -> object:
    """Returns a type with no `Annotated` in it."""
    if typing.get_origin(kind) is typing.Annotated:
        return _without_bounds(typing.get_args(kind)[0])
    if isinstance(kind, types.UnionType) or (
        typing.get_origin(kind) is typing.Union
    ):
        parts = [_without_bounds(arg) for arg in typing.get_args(kind)]
        return typing.Union[tuple(parts)]  # noqa: UP007
    if typing.get_origin(kind) is tuple:
        return tuple[_without_bounds(typing.get_args(kind)[0]), ...]
    return kind


def _meta_of(kind: object) -> msgspec.Meta | None:
    """Returns the first `msgspec.Meta` within a type."""
    if typing.get_origin(kind) is typing.Annotated:
        return kind.__metadata__[0]
    metas = (_meta_of(arg) for arg in typing.get_args(kind))
    return next((meta for meta in metas if meta is not None), None)


def _format_of(kind: object) -> str | None:
    meta = _meta_of(kind)
    return (meta.extra or {}).get("format") if meta else None


def _describe(kind: object) -> str:
    """Returns what a value of a type should be, for a person."""
    plain = _without_bounds(kind)
    values = [m.value for m in getattr(plain, "__members__", {}).values()]
    if values:
        return f"one of {', '.join(values)}"
    name = _format_of(kind)
    if name is not None:
        return settings_formats.expected_of(name)
    meta = _meta_of(kind)
    if meta is None:
        return _TYPE_NAMES[plain]
    low = meta.ge if meta.ge is not None else f"above {meta.gt}"
    return f"{_TYPE_NAMES[plain]} from {low} to {meta.le}"


_TYPE_NAMES = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
}
