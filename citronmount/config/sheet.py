"""Reads and writes sheets: configurations as CSV for spreadsheets."""

from collections.abc import Hashable
import csv
import io
import operator
import os
import pathlib
from typing import BinaryIO

import msgspec

from citronmount.config import configuration as configuration_lib
from citronmount.config import names
from citronmount.config import sheet_faults
from citronmount.config import sheet_kinds
from citronmount.config import sheet_rows
from citronmount.core import codes
from citronmount.core import states

__all__ = [
    "MAX_CONFIGURATION_BYTES",
    "Sheet",
    "load",
    "parse",
    "read",
    "read_stream",
    "write",
]

MAX_CONFIGURATION_BYTES = 1_000_000

_CODES = codes.ResultCode
_ENCODER = msgspec.msgpack.Encoder()


class Sheet(msgspec.Struct, frozen=True, kw_only=True):
    """A sheet after parsing and validation.

    Attributes:
        file: Name of the sheet.
        configuration: Content of the sheet, or None if it has faults.
        guarantee_rows: Row number of each guarantee of the configuration.
        faults: Faults of the sheet, sorted by row.
        further_faults: Number of faults beyond those listed.
    """

    file: str
    configuration: configuration_lib.Configuration | None
    guarantee_rows: tuple[int, ...] = ()
    faults: tuple[sheet_faults.SheetFault, ...] = ()
    further_faults: int = 0


def read(path: str | os.PathLike[str]) -> Sheet:
    """Reads a sheet file.

    Args:
        path: A CSV file in UTF-8.

    Returns:
        The sheet, with its configuration or its faults.

    Raises:
        OSError: If the file cannot be read.
    """
    with pathlib.Path(path).open("rb") as stream:
        return read_stream(stream, file=os.fspath(path))


def parse(data: bytes, *, file: str = "sheet") -> Sheet:
    r"""Reads a sheet from memory.

    Args:
        data: CSV in UTF-8.
        file: Name of the sheet in its faults.

    Returns:
        The sheet, with its configuration or its faults.

    Example:
        >>> str(parse(b"kind;name\n").faults[0])[:22]
        'sheet:1: SHEET_HEADER:'
    """
    return read_stream(io.BytesIO(data), file=file)


def read_stream(stream: BinaryIO, *, file: str) -> Sheet:
    """Reads a sheet from an open file, row by row.

    Args:
        stream: CSV in UTF-8.
        file: Name of the sheet in its faults.

    Returns:
        The sheet, with its configuration or its faults.
    """
    faults = sheet_faults.FaultList(file=file)
    faulty_names: set[str] = set()
    numbered_items = _read_items(stream, faults, faulty_names)
    _check_references(numbered_items, faulty_names, faults)
    sorted_faults = faults.sorted_by_row()
    if sorted_faults:
        return Sheet(
            file=file,
            configuration=None,
            faults=sorted_faults,
            further_faults=faults.further_count,
        )
    guarantees = _filter_by_type(numbered_items, configuration_lib.Guarantee)
    return Sheet(
        file=file,
        configuration=_build_configuration(numbered_items),
        guarantee_rows=tuple(row for row, _ in guarantees),
    )


def load(path: str | os.PathLike[str]) -> configuration_lib.Configuration:
    """Reads a sheet file that has to be valid.

    Args:
        path: A CSV file in UTF-8.

    Returns:
        The configuration.

    Raises:
        ExceptionGroup: If the sheet has faults; holds one
            `sheet_faults.SheetError` for each of them.
        OSError: If the file cannot be read.
    """
    sheet = read(path)
    if sheet.configuration is None:
        raise ExceptionGroup(
            f"{sheet.file}: the sheet has {len(sheet.faults)} faults",
            [sheet_faults.SheetError(fault) for fault in sheet.faults],
        )
    return sheet.configuration


def write(configuration: configuration_lib.Configuration) -> str:
    """Writes a configuration as a sheet.

    Args:
        configuration: The configuration. Its version is not written.

    Returns:
        CSV text from which `parse` reads the same content.
    """
    text = io.StringIO()
    writer = csv.DictWriter(
        text, sheet_rows.HEADER, restval="", lineterminator="\n"
    )
    writer.writeheader()
    writer.writerows(
        {
            "kind": "failure_domain",
            "name": domain.name,
            "state": domain.state.value,
        }
        for domain in configuration.failure_domains
    )
    writer.writerows(
        {
            "kind": "client_account",
            "name": account.name,
            "class": account.account_class.value,
        }
        for account in configuration.accounts
    )
    writer.writerows(
        _guarantee_cells(guarantee) for guarantee in configuration.guarantees
    )
    writer.writerows(
        {
            "kind": "allowance",
            "name": allowance.account,
            "accelerators": allowance.accelerators,
        }
        for allowance in configuration.allowances
    )
    return text.getvalue()


def _guarantee_cells(
    guarantee: configuration_lib.Guarantee,
) -> dict[str, str | int]:
    return {
        "kind": "guarantee",
        "name": guarantee.account,
        "failure_domain": guarantee.failure_domain or "",
        "copies": guarantee.copies,
        "tasks": guarantee.tasks,
        "accelerators": guarantee.per_task.accelerators,
        "cores": guarantee.per_task.cores or "",
        "memory_gb": guarantee.per_task.memory_gb or "",
        "adjacency": guarantee.adjacency.value,
    }


def _read_items(
    stream: BinaryIO, faults: sheet_faults.FaultList, faulty_names: set[str]
) -> list[tuple[int, sheet_kinds.Item]]:
    """Returns the valid items of all rows with their row numbers.

    Items beyond `MAX_CONFIGURATION_BYTES` in total are a fault and are not
    collected, so that a configuration fits into one record of the log and
    memory stays bounded.

    Args:
        stream: The bytes of the sheet.
        faults: Receives the faults.
        faulty_names: Receives the names in faulty rows, at most
            `sheet_faults.MAX_FAULTS`.
    """
    numbered_items: list[tuple[int, sheet_kinds.Item]] = []
    first_rows: dict[Hashable, int] = {}
    size_bytes = 0
    rows_seen = False
    for row, cells in sheet_rows.read_rows(stream, faults):
        rows_seen = True
        item = _read_row(row, cells, faults)
        if item is None and len(faulty_names) < sheet_faults.MAX_FAULTS:
            faulty_names.add(names.normalize(cells[1]))
        if item is None or size_bytes > MAX_CONFIGURATION_BYTES:
            continue
        first_row = first_rows.setdefault(_duplicate_key(item), row)
        if first_row != row:
            message = f"row {first_row} already defines this entry"
            faults.add(row, _CODES.SHEET_DUPLICATE, message)
            continue
        size_bytes += len(_ENCODER.encode(item))
        if size_bytes > MAX_CONFIGURATION_BYTES:
            message = (
                "the rows up to here exceed the maximum configuration size"
            )
            faults.add(row, _CODES.SHEET_TOO_LARGE, message)
            continue
        numbered_items.append((row, item))
    if not rows_seen and not faults.has_faults():
        faults.add(1, _CODES.SHEET_EMPTY, "the sheet has only a header")
    return numbered_items


def _read_row(
    row: int, cells: list[str], faults: sheet_faults.FaultList
) -> sheet_kinds.Item | None:
    kind = sheet_kinds.find_kind(cells[0])
    if kind is None:
        expected = " or ".join(sheet_kinds.kind_names())
        message = f"kind: expected {expected}, found {cells[0][:40]!r}"
        faults.add(row, _CODES.SHEET_KIND, message)
        return None
    return kind.read(row, cells, faults)


def _duplicate_key(item: sheet_kinds.Item) -> Hashable:
    """Returns a key that no two rows may have in common.

    Two guarantees that differ only in their copies are duplicates.
    """
    if isinstance(item, configuration_lib.Guarantee):
        return msgspec.structs.replace(item, copies=0)
    if isinstance(item, configuration_lib.Allowance):
        return configuration_lib.Allowance, item.account
    return type(item), item.name


def _filter_by_type(
    numbered_items: list[tuple[int, sheet_kinds.Item]],
    item_type: type[msgspec.Struct],
) -> list[tuple[int, sheet_kinds.Item]]:
    return [
        (row, item)
        for row, item in numbered_items
        if isinstance(item, item_type)
    ]


def _check_references(
    numbered_items: list[tuple[int, sheet_kinds.Item]],
    faulty_names: set[str],
    faults: sheet_faults.FaultList,
) -> None:
    """Checks the accounts and failure domains that rows refer to.

    They have to be defined by other rows, and accounts have to be of the
    class that the row is for. Names in faulty rows count as defined, so that
    one mistake is not reported twice.
    """
    account_classes = {
        account.name: account.account_class
        for _, account in _filter_by_type(
            numbered_items, configuration_lib.Account
        )
    }
    defined_domains = {
        domain.name
        for _, domain in _filter_by_type(
            numbered_items, configuration_lib.FailureDomain
        )
    }
    required_classes = {
        configuration_lib.Guarantee: states.AccountClass.PAYING,
        configuration_lib.Allowance: states.AccountClass.TRIAL,
    }
    for row, item in numbered_items:
        if type(item) in required_classes and item.account not in faulty_names:
            _check_account(
                row,
                item.account,
                account_classes,
                required_classes[type(item)],
                faults,
            )
    known_domains = defined_domains | faulty_names | {None}
    for row, guarantee in _filter_by_type(
        numbered_items, configuration_lib.Guarantee
    ):
        domain = guarantee.failure_domain
        if domain not in known_domains:
            message = f"failure_domain: no row defines {domain!r}"
            faults.add(row, _CODES.SHEET_UNKNOWN_REFERENCE, message)


def _check_account(
    row: int,
    name: str,
    account_classes: dict[str, states.AccountClass],
    required_class: states.AccountClass,
    faults: sheet_faults.FaultList,
) -> None:
    if name not in account_classes:
        message = f"name: no row defines the client account {name!r}"
        faults.add(row, _CODES.SHEET_UNKNOWN_REFERENCE, message)
    elif account_classes[name] is not required_class:
        found_class = account_classes[name].value
        message = (
            f"name: {name!r} is {found_class}, but the row requires "
            f"{required_class.value}"
        )
        faults.add(row, _CODES.SHEET_CLASS_CONFLICT, message)


def _build_configuration(
    numbered_items: list[tuple[int, sheet_kinds.Item]],
) -> configuration_lib.Configuration:
    def items_of_type(
        item_type: type[msgspec.Struct],
    ) -> list[sheet_kinds.Item]:
        return [item for _, item in _filter_by_type(numbered_items, item_type)]

    by_name = operator.attrgetter("name")
    by_account = operator.attrgetter("account")
    return configuration_lib.Configuration(
        failure_domains=tuple(
            sorted(items_of_type(configuration_lib.FailureDomain), key=by_name)
        ),
        accounts=tuple(
            sorted(items_of_type(configuration_lib.Account), key=by_name)
        ),
        guarantees=tuple(items_of_type(configuration_lib.Guarantee)),
        allowances=tuple(
            sorted(items_of_type(configuration_lib.Allowance), key=by_account)
        ),
    )
