"""Faults found in a sheet."""

import msgspec

from citronmount.core import codes
from citronmount.core import errors

__all__ = ["MAX_FAULTS", "FaultList", "SheetError", "SheetFault"]

MAX_FAULTS = 10_000


class SheetFault(msgspec.Struct, frozen=True, kw_only=True):
    """One fault of a sheet.

    Attributes:
        file: The sheet.
        row: The row as a spreadsheet counts it; the header is row 1.
        code: A 5xxx result code.
        message: What is wrong, with the column if there is one.
    """

    file: str
    row: int
    code: codes.ResultCode
    message: str

    def __str__(self) -> str:
        """Returns one line for a person."""
        return f"{self.file}:{self.row}: {self.code.name}: {self.message}"


class SheetError(errors.InvalidInputError):
    """A sheet that cannot become a configuration.

    Attributes:
        fault: What is wrong.
    """

    def __init__(self, fault: SheetFault) -> None:
        """Initializes the error.

        Args:
            fault: What is wrong.
        """
        super().__init__(str(fault), code=fault.code)
        self.fault = fault


class FaultList:
    """Gathers the faults of a sheet in bounded memory.

    Attributes:
        further: How many faults came after the bound was reached.
    """

    def __init__(self, *, file: str) -> None:
        """Initializes an empty list.

        Args:
            file: The sheet that the faults belong to.
        """
        self.further = 0
        self._file = file
        self._faults: list[SheetFault] = []

    def add(self, row: int, code: codes.ResultCode, message: str) -> None:
        """Adds a fault, or only counts it beyond the bound.

        Args:
            row: The row at fault.
            code: What is wrong.
            message: What is wrong, for a person.
        """
        if len(self._faults) >= MAX_FAULTS:
            self.further += 1
            return
        fault = SheetFault(file=self._file, row=row, code=code, message=message)
        self._faults.append(fault)

    def any(self) -> bool:
        """Returns whether there is any fault."""
        return bool(self._faults)

    def sorted(self) -> tuple[SheetFault, ...]:
        """Returns the faults in the order of their rows."""
        return tuple(sorted(self._faults, key=lambda fault: fault.row))
