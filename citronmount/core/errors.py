"""Exceptions of the package."""

from citronmount.core import codes

__all__ = ["CitronmountError", "InvalidInputError", "UnreachableError"]


class CitronmountError(Exception):
    """Base class of the exceptions that the package defines.

    Attributes:
        code: Result code that is reported to the caller.
    """

    def __init__(
        self,
        message: str,
        *,
        code: codes.ResultCode = codes.ResultCode.INTERNAL,
    ) -> None:
        """Initializes the error.

        Args:
            message: Human-readable description of the error.
            code: Result code that is reported to the caller.
        """
        super().__init__(message)
        self.code = code


class InvalidInputError(CitronmountError):
    """Raised for external input that violates its format."""


class UnreachableError(CitronmountError):
    """Raised if a service or peer does not answer."""
