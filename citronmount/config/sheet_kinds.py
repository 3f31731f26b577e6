"""What each kind of sheet row says, in a registry by kind."""

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

__all__ = ["Item", "Kind", "MAX_NUMBER", "kind_names", "kind_of"]

MAX_NUMBER = 100_000
_SHOWN_CHARACTERS = 40
_INTEGER = re.compile(r"[0-9]{1,9}(?:\.0{1,6})?", re.ASCII)

_INDEXES = {column: i for i, column in enumerate(sheet_rows.HEADER)}

EnumT = TypeVar("EnumT", bound=enum.Enum)
Item = (
    configuration.FailureDomain
    | configuration.Account
    | configuration.Guarantee
    | configuration.Allowance
)


class _Cells:
    """The cells of one row by column, with conversions that note faults."""

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
        """Returns a name."""
        name = names.normalize(self._text(column))
        if not names.is_valid(name):
            expected = (
                f"1 to {names.MAX_CHARACTERS} visible characters without "
                "'/' and '#'"
            )
            self._fault(codes.ResultCode.SHEET_NAME, column, expected)
        return name

    def optional_name(self, column: str) -> str | None:
        """Returns a name, or None for an empty cell."""
        return self.name(column) if self._text(column) else None

    def number(self, column: str, low: int) -> int:
        """Returns a whole number; an empty cell is 0 if that is allowed."""
        text = self._text(column)
        if not text and low == 0:
            return 0
        valid = _INTEGER.fullmatch(text) is not None
        number = int(text.partition(".")[0]) if valid else -1
        if not low <= number <= MAX_NUMBER:
            expected = f"a whole number from {low} to {MAX_NUMBER}"
            self._fault(codes.ResultCode.SHEET_NUMBER, column, expected)
        return number

    def choice(
        self, column: str, choices: type[EnumT], code: codes.ResultCode
    ) -> EnumT | None:
        """Returns a member of an enumeration."""
        try:
            return choices(self._text(column).lower())
        except ValueError:
            expected = " or ".join(member.value for member in choices)
            self._fault(code, column, expected)
            return None

    def _text(self, column: str) -> str:
        return self._cells[_INDEXES[column]]

    def _fault(
        self, code: codes.ResultCode, column: str, expected: str
    ) -> None:
        self.valid = False
        found = self._text(column)[:_SHOWN_CHARACTERS]
        shown = repr(found) if found else "an empty cell"
        message = f"{column}: expected {expected}, found {shown}"
        self._faults.add(self._row, code, message)


class Kind(msgspec.Struct, frozen=True, kw_only=True):
    """How rows of one kind are read.

    Attributes:
        name: The text of the kind column.
        surplus: Indexes of the columns that do not apply.
        parse: Makes the item; its value counts only if no fault was noted.
    """

    name: str
    surplus: tuple[int, ...]
    parse: Callable[[_Cells], Item]

    def read(
        self, row: int, cells: list[str], faults: sheet_faults.FaultList
    ) -> Item | None:
        """Reads one row.

        Args:
            row: The number of the row.
            cells: Its cells, one for each column of the header.
            faults: Gets what is wrong.

        Returns:
            The item, or None if the row is at fault.
        """
        surplus = [i for i in self.surplus if cells[i]]
        for index in surplus:
            column = sheet_rows.HEADER[index]
            message = f"{column}: does not apply to {self.name}, leave it empty"
            faults.add(row, codes.ResultCode.SHEET_NOT_EMPTY, message)
        typed = _Cells(row, cells, faults)
        item = self.parse(typed)
        return item if typed.valid and not surplus else None


_KINDS: dict[str, Kind] = {}


def kind_of(text: str) -> Kind | None:
    """Returns the kind that a cell names.

    Args:
        text: The cell, in any case.

    Returns:
        The kind, or None if there is no such kind.

    Example:
        >>> kind_of("Guarantee").name
        'guarantee'
    """
    return _KINDS.get(text.lower())


def kind_names() -> tuple[str, ...]:
    """Returns the names of all kinds."""
    return tuple(_KINDS)


def _kind(
    name: str, *columns: str
) -> Callable[[Callable[[_Cells], Item]], Callable[[_Cells], Item]]:
    """Registers how rows of a kind are read."""

    def register(parse: Callable[[_Cells], Item]) -> Callable[[_Cells], Item]:
        applying = {"kind", "name", *columns}
        surplus = tuple(
            index
            for column, index in _INDEXES.items()
            if column not in applying
        )
        _KINDS[name] = Kind(name=name, surplus=surplus, parse=parse)
        return parse

    return register


@_kind("failure_domain", "state")
def _failure_domain(cells: _Cells) -> configuration.FailureDomain:
    return configuration.FailureDomain(
        name=ids.FailureDomainId(cells.name("name")),
        state=cells.choice(
            "state", states.FailureDomainState, codes.ResultCode.SHEET_STATE
        ),
    )


@_kind("client_account", "class")
def _account(cells: _Cells) -> configuration.Account:
    return configuration.Account(
        name=ids.AccountId(cells.name("name")),
        account_class=cells.choice(
            "class", states.AccountClass, codes.ResultCode.SHEET_CLASS
        ),
    )


@_kind(
    "guarantee",
    "failure_domain",
    "copies",
    "tasks",
    "accelerators",
    "cores",
    "memory_gb",
    "adjacency",
)
def _guarantee(cells: _Cells) -> configuration.Guarantee:
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


@_kind("allowance", "accelerators")
def _allowance(cells: _Cells) -> configuration.Allowance:
    return configuration.Allowance(
        account=ids.AccountId(cells.name("name")),
        accelerators=cells.number("accelerators", 0),
    )
