"""Reads the CSV rows of a sheet one at a time in bounded memory."""

from collections.abc import Iterator
import csv
import io
import re
from typing import BinaryIO

from citronmount.config import sheet_faults
from citronmount.core import codes

__all__ = ["HEADER", "Row", "read_rows"]

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

_COLUMN_COUNT = len(HEADER)
_MAX_LINE_CHARACTERS = 65_536
_MAX_LINES_PER_ROW = 100
_MAX_ROWS = 1_048_576
_MAX_SHOWN_CHARACTERS = 40
_UTF_16_BYTE_ORDER_MARKS = (b"\xff\xfe", b"\xfe\xff")
_FORMULA_CHARACTER = re.compile("[=+@#]")
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

_VISIBLE_ASCII = re.compile("[!-~]+")

Row = tuple[int, list[str]]


class _TooLargeError(Exception):
    """Raised for a line or row that is longer than allowed."""


class _BoundedLines:
    """Iterates over lines, limiting the lengths of lines and CSV rows.

    A quoted cell may hold line breaks, so a row may extend over several lines.

    Attributes:
        line_count: Number of lines read so far.
    """

    def __init__(self, text: io.TextIOBase) -> None:
        self.line_count = 0
        self._text = text
        self._lines_in_row = 0

    def __iter__(self) -> Iterator[str]:
        return self

    def __next__(self) -> str:
        line = self._text.readline(_MAX_LINE_CHARACTERS)
        if not line:
            raise StopIteration
        self.line_count += 1
        self._lines_in_row += 1
        if len(line) == _MAX_LINE_CHARACTERS:
            raise _TooLargeError
        if self._lines_in_row > _MAX_LINES_PER_ROW:
            raise _TooLargeError
        return line

    def end_row(self) -> None:
        """Resets the line count for the next row."""
        self._lines_in_row = 0


def read_rows(
    stream: BinaryIO, faults: sheet_faults.FaultList
) -> Iterator[Row]:
    """Yields the well-formed rows below the header.

    Whitespace around cells is removed. Blank rows are skipped, but they count
    in the row numbers. A row is well-formed if its encoding, its size, its CSV
    syntax and its number of cells are valid and no cell holds a formula or an
    error value of a spreadsheet such as ``#REF!``.

    Args:
        stream: The bytes of the sheet.
        faults: Receives the faults of the header and of rows that are not
            well-formed.

    Yields:
        The number of the row and its cells, one for each column of `HEADER`.
    """
    # Invalid bytes become surrogates, which `_is_valid_utf_8` finds, so that
    # the fault can name the row.
    text = io.TextIOWrapper(
        stream, encoding="utf-8-sig", errors="surrogateescape", newline=""
    )
    try:
        yield from _rows_below_header(_BoundedLines(text), faults)
    finally:
        text.detach()


def _rows_below_header(
    lines: _BoundedLines, faults: sheet_faults.FaultList
) -> Iterator[Row]:
    header_seen = False
    for number, cells in _read_csv_rows(lines, faults):
        if not any(cells):
            continue
        if not header_seen:
            if not _check_header(number, cells, faults):
                return
            header_seen = True
            continue
        if _check_cells(number, cells, faults):
            yield number, cells[:_COLUMN_COUNT]
    if not header_seen and not faults.has_faults():
        message = "the sheet has no header"
        faults.add(1, codes.ResultCode.SHEET_EMPTY, message)


def _read_csv_rows(
    lines: _BoundedLines, faults: sheet_faults.FaultList
) -> Iterator[Row]:
    """Yields the number and the stripped cells of every valid CSV row."""
    reader = csv.reader(lines, strict=True)
    for number in range(1, _MAX_ROWS + 1):
        lines.end_row()
        try:
            cells = next(reader)
        except StopIteration:
            return
        except csv.Error as error:
            message = f"line {lines.line_count} is not valid CSV: {error}"
            faults.add(number, codes.ResultCode.SHEET_COLUMNS, message)
            continue
        except _TooLargeError:
            message = (
                f"line {lines.line_count} exceeds the maximum length of a line "
                "or row"
            )
            faults.add(number, codes.ResultCode.SHEET_TOO_LARGE, message)
            return
        # Rows of visible ASCII only hold no whitespace to remove.
        needs_no_strip = _VISIBLE_ASCII.fullmatch("".join(cells)) is not None
        yield (
            number,
            cells if needs_no_strip else [cell.strip() for cell in cells],
        )
    faults.add(
        _MAX_ROWS,
        codes.ResultCode.SHEET_TOO_LARGE,
        f"expected at most {_MAX_ROWS} rows",
    )


def _check_header(
    number: int, cells: list[str], faults: sheet_faults.FaultList
) -> bool:
    header_bytes = "".join(cells).encode("utf-8", "surrogateescape")
    if (
        header_bytes.startswith(_UTF_16_BYTE_ORDER_MARKS)
        or b"\0" in header_bytes
    ):
        message = "the sheet appears to be UTF-16; export it as UTF-8"
        faults.add(number, codes.ResultCode.SHEET_ENCODING, message)
        return False
    if not _is_valid_utf_8("".join(cells)):
        message = "the header is not valid UTF-8"
        faults.add(number, codes.ResultCode.SHEET_ENCODING, message)
        return False
    columns = tuple(cell.lower() for cell in cells[:_COLUMN_COUNT])
    if columns == HEADER and not any(cells[_COLUMN_COUNT:]):
        return True
    hint = " (separate cells by commas)" if ";" in cells[0] else ""
    expected = ",".join(HEADER)
    message = f"expected the header {expected}{hint}"
    faults.add(number, codes.ResultCode.SHEET_HEADER, message)
    return False


def _check_cells(
    number: int, cells: list[str], faults: sheet_faults.FaultList
) -> bool:
    if len(cells) < _COLUMN_COUNT or any(cells[_COLUMN_COUNT:]):
        message = f"expected {_COLUMN_COUNT} cells, found {len(cells)}"
        faults.add(number, codes.ResultCode.SHEET_COLUMNS, message)
        return False
    row_text = "".join(cells)
    if not row_text.isascii() and not _is_valid_utf_8(row_text):
        message = "a cell is not valid UTF-8"
        faults.add(number, codes.ResultCode.SHEET_ENCODING, message)
        return False
    # Without any of these characters, no cell can be a formula or an error.
    if _FORMULA_CHARACTER.search(row_text) is None:
        return True
    formulas = [
        (column, cell)
        for column, cell in zip(HEADER, cells, strict=False)
        if cell.startswith(_FORMULA_STARTS) or cell in _FORMULA_ERRORS
    ]
    for column, cell in formulas:
        shown = cell[:_MAX_SHOWN_CHARACTERS]
        message = f"{column}: {shown!r} is a formula; export its value"
        faults.add(number, codes.ResultCode.SHEET_FORMULA, message)
    return not formulas


def _is_valid_utf_8(text: str) -> bool:
    try:
        text.encode("utf-8")
    except UnicodeEncodeError:
        return False
    return True
