"""Faults in the settings of a daemon."""

import msgspec

from citronmount.core import codes
from citronmount.core import errors

__all__ = ["SettingError", "SettingFault"]


class SettingFault(msgspec.Struct, frozen=True, kw_only=True, order=True):
    """One fault of a settings file.

    Attributes:
        file: The settings file.
        key: The dotted key, or empty if the fault concerns the whole file.
        code: A result code of the 6xxx family.
        expected: A description of the expected value.
    """

    file: str
    key: str
    code: codes.ResultCode
    expected: str

    def __str__(self) -> str:
        """Returns the fault as one human-readable line."""
        location = f"{self.file}: {self.key}" if self.key else self.file
        return f"{location}: {self.code.name}: {self.expected}"


class SettingError(errors.InvalidInputError):
    """Raised, in an exception group, for each fault of a settings file.

    Attributes:
        fault: The fault.
    """

    def __init__(self, fault: SettingFault) -> None:
        """Initializes the error.

        Args:
            fault: The fault.
        """
        super().__init__(str(fault), code=fault.code)
        self.fault = fault
