"""A steady clock that also counts the time in which the machine is suspended.

The plain monotonic clock stands still meanwhile, and an event loop reads it
once in each iteration. Leases, deadlines, drain times and the idle time of a
connection would all run out too late after a pause.
"""

import time

_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now_s() -> float:
    """Returns the time in seconds since an arbitrary start."""
    return time.clock_gettime(_CLOCK_ID)
