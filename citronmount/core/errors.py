"""Exceptions of the package."""

from citronmount.core import codes

__all__ = [
    "CitronmountError",
    "DECODING_ERRORS",
    "InvalidInputError",
    "UnreachableError",
]

# What a decoder raises for bytes of another writer. The errors of msgspec and
# of text encodings are ValueErrors; deep nesting raises RecursionError, also
# where a decoder skips an unknown field.
DECODING_ERRORS = (ValueError, RecursionError)


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
