"""Faults found in the settings of a daemon."""

import msgspec

from citronmount.core import codes
from citronmount.core import errors

__all__ = ["SettingError", "SettingFault"]


class SettingFault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One fault of a settings file.

    Attributes:
        file: The settings file.
        key: The dotted key at fault, or empty for the whole file.
        code: A 6xxx result code.
        expected: What the key should hold.
    """

    file: str
    key: str
    code: codes.ResultCode
    expected: str

    def __str__(self) -> str:
        """Returns one line for a person."""
        place = f"{self.file}: {self.key}" if self.key else self.file
        return f"{place}: {self.code.name}: {self.expected}"


class SettingError(errors.InvalidInputError):
    """A settings file that a daemon cannot start from.

    Attributes:
        fault: What is wrong.
    """

    def __init__(self, fault: SettingFault) -> None:
        """Initializes the error.

        Args:
            fault: What is wrong.
        """
        super().__init__(str(fault), code=fault.code)
        self.fault = fault
