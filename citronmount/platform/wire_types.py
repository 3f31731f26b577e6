"""Types of numbers on the wire that fit into the records of the job topic."""

from typing import Annotated

import msgspec

from citronmount.workflow import job_limits

__all__ = ["Amount", "Int64", "Milliseconds", "SlackFactor", "UnixMs"]

_MIN = -(1 << 63)
_MAX = (1 << 63) - 1
# In the year 3084; a later start would outrank every restart of a runner.
_MAX_UNIX_MS = 1 << 45

Int64 = Annotated[int, msgspec.Meta(ge=_MIN, le=_MAX)]
Amount = Annotated[int, msgspec.Meta(ge=0, le=_MAX)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=_MAX_UNIX_MS)]
# May be fractions; the largest float below the limit of `Int64`.
Milliseconds = Annotated[
    float, msgspec.Meta(ge=float(_MIN), le=float(_MAX - 1_023))
]
SlackFactor = Annotated[
    float, msgspec.Meta(ge=0, le=job_limits.MAX_SLACK_FACTOR)
]
