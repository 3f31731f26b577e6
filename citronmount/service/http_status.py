"""Maps result codes to HTTP statuses."""

from twisted.web import http

from citronmount.core import codes

__all__ = ["status_of"]

# The thousands digit of a result code is its family; see `codes.ResultCode`.
_CODES_PER_FAMILY = 1_000
_STATUS_BY_FAMILY = {
    1: http.OK,
    2: http.BAD_REQUEST,
    3: http.SERVICE_UNAVAILABLE,
    4: http.OK,
    5: http.BAD_REQUEST,
    6: http.INTERNAL_SERVER_ERROR,
    7: http.INTERNAL_SERVER_ERROR,
    9: http.INTERNAL_SERVER_ERROR,
}
_TOO_MANY_REQUESTS = 429
_UNPROCESSABLE = 422
_STATUS_BY_CODE = {
    codes.ResultCode.ACCEPTED: http.ACCEPTED,
    codes.ResultCode.UNKNOWN_JOB: http.NOT_FOUND,
    codes.ResultCode.TOO_LARGE: http.REQUEST_ENTITY_TOO_LARGE,
    codes.ResultCode.RATE_LIMITED: _TOO_MANY_REQUESTS,
    codes.ResultCode.CONFIGURATION_ACCEPTED: http.OK,
    codes.ResultCode.CONFIGURATION_STALE_BASE: http.CONFLICT,
    codes.ResultCode.CONFIGURATION_INVALID: _UNPROCESSABLE,
    codes.ResultCode.CONFIGURATION_OUTCOME_UNKNOWN: http.GATEWAY_TIMEOUT,
    codes.ResultCode.UNREACHABLE: http.BAD_GATEWAY,
    codes.ResultCode.TIMED_OUT: http.GATEWAY_TIMEOUT,
}


def status_of(code: codes.ResultCode) -> int:
    """Returns the HTTP status for a result code.

    Args:
        code: Any result code.

    Returns:
        The status set for the code itself, otherwise that of its family.

    Example:
        >>> status_of(codes.ResultCode.QUEUE_FULL)
        503
    """
    return _STATUS_BY_CODE.get(
        code, _STATUS_BY_FAMILY[code // _CODES_PER_FAMILY]
    )
