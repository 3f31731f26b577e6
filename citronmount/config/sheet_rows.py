"""Reads CSV rows one at a time in bounded memory."""

from collections.abc import Iterator
import csv
import io
import re
from typing import BinaryIO

from citronmount.config import sheet_faults
from citronmount.core import codes

__all__ = ["HEADER", "Row", "rows"]

HEADER = (
    "kind",
    "name",
    "class",
    "state",
    "failure_domain",
    "copies",
    "tasks",
    "accelerators",
    "cores",
    "memory_gb",
    "adjacency",
)

_COLUMNS = len(HEADER)
_MAX_LINE_CHARACTERS = 65_536
_MAX_LINES_PER_ROW = 100
_MAX_ROWS = 1_048_576
_SHOWN_CHARACTERS = 40
_UTF_16_MARKS = (b"\xff\xfe", b"\xfe\xff")
_FORMULA = re.compile("[=+@#]")
_FORMULA_STARTS = ("=", "+", "@")
_FORMULA_ERRORS = (
    "#REF!",
    "#N/A",
    "#NAME?",
    "#VALUE!",
    "#DIV/0!",
    "#NUM!",
    "#NULL!",
)

_PLAIN = re.compile("[!-~]+")

Row = tuple[int, list[str]]


class _TooLargeError(Exception):
    """A line or row that would take unbounded memory."""


class _Lines:
    """Iterates over the lines of a text with bounds on lines and rows."""

    def __init__(self, text: io.TextIOBase) -> None:
        self.number = 0
        self._text = text
        self._lines_in_row = 0

    def __iter__(self) -> Iterator[str]:
        return self

    def __next__(self) -> str:
        line = self._text.readline(_MAX_LINE_CHARACTERS)
        if not line:
            raise StopIteration
        self.number += 1
        self._lines_in_row += 1
        if len(line) == _MAX_LINE_CHARACTERS:
            raise _TooLargeError
        if self._lines_in_row > _MAX_LINES_PER_ROW:
            raise _TooLargeError
        return line

    def end_row(self) -> None:
        """Starts to count the lines of the next row."""
        self._lines_in_row = 0


def rows(stream: BinaryIO, faults: sheet_faults.FaultList) -> Iterator[Row]:
    """Yields the rows below the header that have the right form.

    Cells lose surrounding space. Blank rows are passed over but counted.

    Args:
        stream: The bytes of the sheet.
        faults: Gets the faults of form.

    Yields:
        The number of the row and its cells, one for each column of `HEADER`.
    """
    text = io.TextIOWrapper(
        stream, encoding="utf-8-sig", errors="surrogateescape", newline=""
    )
    try:
        yield from _rows_below_header(_Lines(text), faults)
    finally:
        text.detach()


def _rows_below_header(
    lines: _Lines, faults: sheet_faults.FaultList
) -> Iterator[Row]:
    header_seen = False
    for number, cells in _numbered(lines, faults):
        if not any(cells):
            continue
        if not header_seen:
            if not _check_header(number, cells, faults):
                return
            header_seen = True
            continue
        if _check_cells(number, cells, faults):
            yield number, cells[:_COLUMNS]
    if not header_seen and not faults.any():
        message = "the sheet has no header"
        faults.add(1, codes.ResultCode.SHEET_EMPTY, message)


def _numbered(lines: _Lines, faults: sheet_faults.FaultList) -> Iterator[Row]:
    """Yields every row that is valid CSV, with stripped cells."""
    reader = csv.reader(lines, strict=True)
    for number in range(1, _MAX_ROWS + 1):
        lines.end_row()
        try:
            cells = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            message = f"line {lines.number} is not valid CSV: {error}"
            faults.add(number, codes.ResultCode.SHEET_COLUMNS, message)
            continue
        except _TooLargeError:
            message = f"line {lines.number} makes the row too long"
            faults.add(number, codes.ResultCode.SHEET_TOO_LARGE, message)
            return
        plain = _PLAIN.fullmatch("".join(cells)) is not None
        yield number, cells if plain else [cell.strip() for cell in cells]
    faults.add(
        _MAX_ROWS,
        codes.ResultCode.SHEET_TOO_LARGE,
        f"at most {_MAX_ROWS} rows are read",
    )


def _check_header(
    number: int, cells: list[str], faults: sheet_faults.FaultList
) -> bool:
    raw = "".join(cells).encode("utf-8", "surrogateescape")
    if raw.startswith(_UTF_16_MARKS) or b"\0" in raw:
        message = "the sheet seems to be UTF-16; export it as UTF-8"
        faults.add(number, codes.ResultCode.SHEET_ENCODING, message)
        return False
    if not _is_utf_8("".join(cells)):
        message = "the header is not valid UTF-8"
        faults.add(number, codes.ResultCode.SHEET_ENCODING, message)
        return False
    names = tuple(cell.lower() for cell in cells[:_COLUMNS])
    if names == HEADER and not any(cells[_COLUMNS:]):
        return True
    hint = " (separate cells by commas)" if ";" in cells[0] else ""
    expected = ",".join(HEADER)
    message = f"expected the header {expected}{hint}"
    faults.add(number, codes.ResultCode.SHEET_HEADER, message)
    return False


def _check_cells(
    number: int, cells: list[str], faults: sheet_faults.FaultList
) -> bool:
    if len(cells) < _COLUMNS or any(cells[_COLUMNS:]):
        message = f"expected {_COLUMNS} cells, found {len(cells)}"
        faults.add(number, codes.ResultCode.SHEET_COLUMNS, message)
        return False
    joined = "".join(cells)
    if not joined.isascii() and not _is_utf_8(joined):
        message = "a cell is not valid UTF-8"
        faults.add(number, codes.ResultCode.SHEET_ENCODING, message)
        return False
    if _FORMULA.search(joined) is None:
        return True
    formulas = [
        (column, cell)
        for column, cell in zip(HEADER, cells, strict=False)
        if cell.startswith(_FORMULA_STARTS) or cell in _FORMULA_ERRORS
    ]
    for column, cell in formulas:
        shown = cell[:_SHOWN_CHARACTERS]
        message = f"{column}: {shown!r} is a formula, export its value"
        faults.add(number, codes.ResultCode.SHEET_FORMULA, message)
    return not formulas


def _is_utf_8(text: str) -> bool:
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True
