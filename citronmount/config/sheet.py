"""Reads and writes the sheet that operators publish."""

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
    """What was read from a sheet.

    Attributes:
        file: The name of the sheet.
        configuration: Its content, or None if there are faults.
        guarantee_rows: The row of each guarantee of the configuration.
        faults: What is wrong, in the order of the rows.
        further_faults: How many more faults there are than are listed.
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
        The configuration, or every fault.

    Raises:
        OSError: If the file cannot be read.
    """
    with pathlib.Path(path).open("rb") as stream:
        return read_stream(stream, file=os.fspath(path))


def parse(data: bytes, *, file: str = "sheet") -> Sheet:
    r"""Reads a sheet from memory.

    Args:
        data: CSV in UTF-8.
        file: The name that faults are listed under.

    Returns:
        The configuration, or every fault.

    Example:
        >>> str(parse(b"kind;name\n").faults[0])[:22]
        'sheet:1: SHEET_HEADER:'
    """
    return read_stream(io.BytesIO(data), file=file)


def read_stream(stream: BinaryIO, *, file: str) -> Sheet:
    """Reads a sheet from an open file, row by row.

    Args:
        stream: CSV in UTF-8.
        file: The name that faults are listed under.

    Returns:
        The configuration, or every fault.
    """
    faults = sheet_faults.FaultList(file=file)
    faulty_names: set[str] = set()
    items = _read_items(stream, faults, faulty_names)
    _check_references(items, faulty_names, faults)
    found = faults.sorted()
    if found:
        return Sheet(
            file=file,
            configuration=None,
            faults=found,
            further_faults=faults.further,
        )
    guarantees = _of_type(items, configuration_lib.Guarantee)
    return Sheet(
        file=file,
        configuration=_configuration(items),
        guarantee_rows=tuple(row for row, _ in guarantees),
    )


def load(path: str | os.PathLike[str]) -> configuration_lib.Configuration:
    """Reads a sheet file that must have no fault.

    Args:
        path: A CSV file in UTF-8.

    Returns:
        The configuration.

    Raises:
        ExceptionGroup: Of `sheet_faults.SheetError`, one a fault.
        OSError: If the file cannot be read.
    """
    sheet = read(path)
    if sheet.configuration is None:
        raise ExceptionGroup(
            f"{sheet.file}: {len(sheet.faults)} faults",
            [sheet_faults.SheetError(fault) for fault in sheet.faults],
        )
    return sheet.configuration


def write(configuration: configuration_lib.Configuration) -> str:
    """Writes a configuration as a sheet.

    Args:
        configuration: Any version.

    Returns:
        CSV text that `parse` reads back to the same content.
    """
    text = io.StringIO()
    writer = csv.DictWriter(
        text, sheet_rows.HEADER, restval="", lineterminator="\n"
    )
    writer.writeheader()
    writer.writerows(
        {"kind": "failure_domain", "name": d.name, "state": d.state.value}
        for d in configuration.failure_domains
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
    """Returns the items of all rows, as long as they fit into a record.

    Args:
        stream: The bytes of the sheet.
        faults: Gets what is wrong.
        faulty_names: Gets the names of rows at fault, in bounded number.
    """
    items: list[tuple[int, sheet_kinds.Item]] = []
    first_rows: dict[Hashable, int] = {}
    size_bytes = 0
    rows_seen = False
    for row, cells in sheet_rows.rows(stream, faults):
        rows_seen = True
        item = _read_row(row, cells, faults)
        if item is None and len(faulty_names) < sheet_faults.MAX_FAULTS:
            faulty_names.add(names.normalize(cells[1]))
        if item is None or size_bytes > MAX_CONFIGURATION_BYTES:
            continue
        first = first_rows.setdefault(_identity(item), row)
        if first != row:
            message = f"row {first} states the same"
            faults.add(row, _CODES.SHEET_DUPLICATE, message)
            continue
        size_bytes += len(_ENCODER.encode(item))
        if size_bytes > MAX_CONFIGURATION_BYTES:
            message = "the rows up to here exceed the size of a configuration"
            faults.add(row, _CODES.SHEET_TOO_LARGE, message)
            continue
        items.append((row, item))
    if not rows_seen and not faults.any():
        faults.add(1, _CODES.SHEET_EMPTY, "the sheet has only a header")
    return items


def _read_row(
    row: int, cells: list[str], faults: sheet_faults.FaultList
) -> sheet_kinds.Item | None:
    kind = sheet_kinds.kind_of(cells[0])
    if kind is None:
        expected = " or ".join(sheet_kinds.kind_names())
        message = f"kind: expected {expected}, found {cells[0][:40]!r}"
        faults.add(row, _CODES.SHEET_KIND, message)
        return None
    return kind.read(row, cells, faults)


def _identity(item: sheet_kinds.Item) -> Hashable:
    """Returns what no two rows of the same kind may share."""
    if isinstance(item, configuration_lib.Guarantee):
        return msgspec.structs.replace(item, copies=0)
    if isinstance(item, configuration_lib.Allowance):
        return configuration_lib.Allowance, item.account
    return type(item), item.name


def _of_type(
    items: list[tuple[int, sheet_kinds.Item]], kind: type[msgspec.Struct]
) -> list[tuple[int, sheet_kinds.Item]]:
    return [(row, item) for row, item in items if isinstance(item, kind)]


def _check_references(
    items: list[tuple[int, sheet_kinds.Item]],
    faulty_names: set[str],
    faults: sheet_faults.FaultList,
) -> None:
    """Checks that rows name rows that exist and suit them.

    Names of rows at fault count as defined, so that one fault is not
    reported twice.
    """
    classes = {
        account.name: account.account_class
        for _, account in _of_type(items, configuration_lib.Account)
    }
    domains = {
        domain.name
        for _, domain in _of_type(items, configuration_lib.FailureDomain)
    }
    wanted = {
        configuration_lib.Guarantee: states.AccountClass.PAYING,
        configuration_lib.Allowance: states.AccountClass.TRIAL,
    }
    for row, item in items:
        if type(item) in wanted and item.account not in faulty_names:
            _check_account(
                row, item.account, classes, wanted[type(item)], faults
            )
    known = domains | faulty_names | {None}
    for row, guarantee in _of_type(items, configuration_lib.Guarantee):
        domain = guarantee.failure_domain
        if domain not in known:
            message = f"failure_domain: no row defines {domain!r}"
            faults.add(row, _CODES.SHEET_UNKNOWN_REFERENCE, message)


def _check_account(
    row: int,
    name: str,
    classes: dict[str, states.AccountClass],
    wanted: states.AccountClass,
    faults: sheet_faults.FaultList,
) -> None:
    if name not in classes:
        message = f"name: no row defines the client account {name!r}"
        faults.add(row, _CODES.SHEET_UNKNOWN_REFERENCE, message)
    elif classes[name] is not wanted:
        found = classes[name].value
        message = f"name: {name!r} is {found}, the row is for {wanted.value}"
        faults.add(row, _CODES.SHEET_CLASS_CONFLICT, message)


def _configuration(
    items: list[tuple[int, sheet_kinds.Item]],
) -> configuration_lib.Configuration:
    def of(kind: type[msgspec.Struct]) -> list[sheet_kinds.Item]:
        return [item for _, item in _of_type(items, kind)]

    by_name = operator.attrgetter("name")
    by_account = operator.attrgetter("account")
    return configuration_lib.Configuration(
        failure_domains=tuple(
            sorted(of(configuration_lib.FailureDomain), key=by_name)
        ),
        accounts=tuple(sorted(of(configuration_lib.Account), key=by_name)),
        guarantees=tuple(of(configuration_lib.Guarantee)),
        allowances=tuple(
            sorted(of(configuration_lib.Allowance), key=by_account)
        ),
    )
