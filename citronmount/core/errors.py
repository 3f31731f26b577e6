"""The exceptions of the package, all derived from one base."""

from citronmount.core import codes

__all__ = ["CitronmountError", "InvalidInputError", "UnreachableError"]


class CitronmountError(Exception):
    """Base of every exception that the package raises on purpose.

    Attributes:
        code: The numbered result code.
    """

    def __init__(
        self,
        message: str,
        *,
        code: codes.ResultCode = codes.ResultCode.INTERNAL,
    ) -> None:
        """Initializes the error.

        Args:
            message: What went wrong, for a person.
            code: The result code that callers get.
        """
        super().__init__(message)
        self.code = code


class InvalidInputError(CitronmountError):
    """Input from outside that does not keep its format."""


class UnreachableError(CitronmountError):
    """A service or peer that did not answer."""
