"""Validation faults of a sheet."""

import msgspec

from citronmount.core import codes
from citronmount.core import errors

__all__ = ["MAX_FAULTS", "FaultList", "SheetError", "SheetFault"]

MAX_FAULTS = 10_000


class SheetFault(msgspec.Struct, frozen=True, kw_only=True):
    """One validation fault of a sheet.

    Attributes:
        file: Name of the sheet.
        row: Row number as in a spreadsheet; the header is usually row 1.
        code: Result code in the 5xxx range.
        message: Description for a person, with the column if only one is
            concerned.
    """

    file: str
    row: int
    code: codes.ResultCode
    message: str

    def __str__(self) -> str:
        """Returns the fault as one line of text."""
        return f"{self.file}:{self.row}: {self.code.name}: {self.message}"


class SheetError(errors.InvalidInputError):
    """A fault of a sheet that has to be valid, raised in an exception group.

    Attributes:
        fault: The fault.
    """

    def __init__(self, fault: SheetFault) -> None:
        """Initializes the error.

        Args:
            fault: The fault.
        """
        super().__init__(str(fault), code=fault.code)
        self.fault = fault


class FaultList:
    """Collects the first `MAX_FAULTS` faults of a sheet.

    Attributes:
        further_count: Number of faults dropped beyond that limit.
    """

    def __init__(self, *, file: str) -> None:
        """Initializes an empty list.

        Args:
            file: Name of the sheet.
        """
        self.further_count = 0
        self._file = file
        self._faults: list[SheetFault] = []

    def add(self, row: int, code: codes.ResultCode, message: str) -> None:
        """Adds a fault, or only counts it beyond `MAX_FAULTS`.

        Args:
            row: Number of the row.
            code: Result code in the 5xxx range.
            message: Description for a person.
        """
        if len(self._faults) >= MAX_FAULTS:
            self.further_count += 1
            return
        fault = SheetFault(file=self._file, row=row, code=code, message=message)
        self._faults.append(fault)

    def has_faults(self) -> bool:
        """Returns whether any fault was added."""
        return bool(self._faults)

    def sorted_by_row(self) -> tuple[SheetFault, ...]:
        """Returns the collected faults, sorted by row."""
        return tuple(sorted(self._faults, key=lambda fault: fault.row))
