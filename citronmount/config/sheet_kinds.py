"""Registry of the kinds of sheet rows and how each of them is parsed."""

from collections.abc import Callable
import enum
import re
from typing import TypeVar

import msgspec

from citronmount.config import configuration
from citronmount.config import names
from citronmount.config import sheet_faults
from citronmount.config import sheet_rows
from citronmount.core import codes
from citronmount.core import ids
from citronmount.core import jobs
from citronmount.core import states

__all__ = ["MAX_NUMBER", "Item", "Kind", "find_kind", "kind_names"]

MAX_NUMBER = 100_000
_MAX_SHOWN_CHARACTERS = 40
# Decimal zeros are accepted, as spreadsheets may write 8 as 8.00.
_INTEGER = re.compile(r"[0-9]{1,9}(?:\.0{1,6})?", re.ASCII)

_COLUMN_INDEXES = {column: i for i, column in enumerate(sheet_rows.HEADER)}

EnumT = TypeVar("EnumT", bound=enum.Enum)
Item = (
    configuration.FailureDomain
    | configuration.Account
    | configuration.Guarantee
    | configuration.Allowance
)


class _RowCells:
    """Typed access to the cells of one row; invalid cells add faults.

    A method that adds a fault still returns a value, so that one pass over a
    row finds all of its faults.

    Attributes:
        valid: Whether no cell has been invalid so far.
    """

    def __init__(
        self,
        row: int,
        cells: list[str],
        faults: sheet_faults.FaultList,
    ) -> None:
        self.valid = True
        self._row = row
        self._cells = cells
        self._faults = faults

    def name(self, column: str) -> str:
        """Returns the normalized name in a cell."""
        name = names.normalize(self._text(column))
        if not names.is_valid(name):
            expected = (
                f"1 to {names.MAX_CHARACTERS} visible characters without "
                "'/' and '#'"
            )
            self._add_fault(codes.ResultCode.SHEET_NAME, column, expected)
        return name

    def optional_name(self, column: str) -> str | None:
        """Returns the normalized name in a cell, or None if it is empty."""
        return self.name(column) if self._text(column) else None

    def number(self, column: str, minimum: int) -> int:
        """Returns the whole number in a cell.

        An empty cell counts as 0 if `minimum` is 0.
        """
        text = self._text(column)
        if not text and minimum == 0:
            return 0
        is_number = _INTEGER.fullmatch(text) is not None
        number = int(text.partition(".")[0]) if is_number else -1
        if not minimum <= number <= MAX_NUMBER:
            expected = f"a whole number from {minimum} to {MAX_NUMBER}"
            self._add_fault(codes.ResultCode.SHEET_NUMBER, column, expected)
        return number

    def choice(
        self, column: str, choices: type[EnumT], code: codes.ResultCode
    ) -> EnumT | None:
        """Returns the enumeration member whose value a cell holds.

        Upper and lower case are equivalent. An invalid cell gives None.
        """
        try:
            return choices(self._text(column).lower())
        except ValueError:
            expected = " or ".join(member.value for member in choices)
            self._add_fault(code, column, expected)
            return None

    def _text(self, column: str) -> str:
        return self._cells[_COLUMN_INDEXES[column]]

    def _add_fault(
        self, code: codes.ResultCode, column: str, expected: str
    ) -> None:
        self.valid = False
        found = self._text(column)[:_MAX_SHOWN_CHARACTERS]
        shown = repr(found) if found else "an empty cell"
        message = f"{column}: expected {expected}, found {shown}"
        self._faults.add(self._row, code, message)


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of sheet row, created by `_register_kind`.

    Attributes:
        name: Value of the kind column.
        surplus: Indexes of the columns that must be empty in such a row.
        parse: Converts the cells of a row. The result is valid only if no
            cell added a fault.
    """

    name: str
    surplus: tuple[int, ...]
    parse: Callable[[_RowCells], Item]

    def read(
        self, row: int, cells: list[str], faults: sheet_faults.FaultList
    ) -> Item | None:
        """Parses one row.

        Args:
            row: The number of the row.
            cells: Its cells, one for each column of the header.
            faults: Receives the faults of the row.

        Returns:
            The item, or None if the row has faults.
        """
        filled = [index for index in self.surplus if cells[index]]
        for index in filled:
            column = sheet_rows.HEADER[index]
            message = f"{column}: does not apply to {self.name}, leave it empty"
            faults.add(row, codes.ResultCode.SHEET_NOT_EMPTY, message)
        row_cells = _RowCells(row, cells, faults)
        item = self.parse(row_cells)
        return item if row_cells.valid and not filled else None


_KINDS: dict[str, Kind] = {}


def find_kind(text: str) -> Kind | None:
    """Returns the kind that a cell names.

    Args:
        text: The cell, in upper or lower case.

    Returns:
        The kind, or None if no kind has this name.

    Example:
        >>> find_kind("Guarantee").name
        'guarantee'
    """
    return _KINDS.get(text.lower())


def kind_names() -> tuple[str, ...]:
    """Returns the names of all kinds."""
    return tuple(_KINDS)


def _register_kind(
    name: str, *columns: str
) -> Callable[[Callable[[_RowCells], Item]], Callable[[_RowCells], Item]]:
    """Registers the decorated function as the parser of a kind of row.

    Args:
        name: Value of the kind column.
        *columns: The columns that apply besides ``kind`` and ``name``.
    """

    def register(
        parse: Callable[[_RowCells], Item],
    ) -> Callable[[_RowCells], Item]:
        applicable = {"kind", "name", *columns}
        surplus = tuple(
            index
            for column, index in _COLUMN_INDEXES.items()
            if column not in applicable
        )
        _KINDS[name] = Kind(name=name, surplus=surplus, parse=parse)
        return parse

    return register


@_register_kind("failure_domain", "state")
def _parse_failure_domain(cells: _RowCells) -> configuration.FailureDomain:
    return configuration.FailureDomain(
        name=ids.FailureDomainId(cells.name("name")),
        state=cells.choice(
            "state", states.FailureDomainState, codes.ResultCode.SHEET_STATE
        ),
    )


@_register_kind("client_account", "class")
def _parse_account(cells: _RowCells) -> configuration.Account:
    return configuration.Account(
        name=ids.AccountId(cells.name("name")),
        account_class=cells.choice(
            "class", states.AccountClass, codes.ResultCode.SHEET_CLASS
        ),
    )


@_register_kind(
    "guarantee",
    "failure_domain",
    "copies",
    "tasks",
    "accelerators",
    "cores",
    "memory_gb",
    "adjacency",
)
def _parse_guarantee(cells: _RowCells) -> configuration.Guarantee:
    return configuration.Guarantee(
        account=ids.AccountId(cells.name("name")),
        failure_domain=cells.optional_name("failure_domain"),
        copies=cells.number("copies", 1),
        tasks=cells.number("tasks", 1),
        per_task=jobs.Resources(
            accelerators=cells.number("accelerators", 1),
            cores=cells.number("cores", 0),
            memory_gb=cells.number("memory_gb", 0),
        ),
        adjacency=cells.choice(
            "adjacency", states.Adjacency, codes.ResultCode.SHEET_ADJACENCY
        ),
    )


@_register_kind("allowance", "accelerators")
def _parse_allowance(cells: _RowCells) -> configuration.Allowance:
    return configuration.Allowance(
        account=ids.AccountId(cells.name("name")),
        accelerators=cells.number("accelerators", 0),
    )
