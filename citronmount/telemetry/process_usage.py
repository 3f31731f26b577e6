"""CPU time and memory of the running process."""

import os
import pathlib
import resource
import time

__all__ = ["processor_s", "resident_bytes"]

_STATM = pathlib.Path("/proc/self/statm")
_RESIDENT_FIELD = 1
_BYTES_PER_KB = 1_024


def processor_s() -> float:
    """Returns the CPU time that the process has used, in seconds."""
    return time.process_time()


def resident_bytes() -> int:
    """Returns the resident memory of the process.

    On systems without ``/proc``, returns the peak resident memory instead.
    """
    try:
        pages = int(_STATM.read_text("ascii").split()[_RESIDENT_FIELD])
    except OSError:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return usage.ru_maxrss * _BYTES_PER_KB
    return pages * os.sysconf("SC_PAGE_SIZE")
