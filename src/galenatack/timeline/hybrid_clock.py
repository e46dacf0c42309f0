"""Hybrid logical clock."""

from galenatack.interfaces import clock as clock_interface

COUNTER_BITS = 16

MAX_AHEAD_MS = 60_000
"""A peer's clock that is further ahead is not followed.

Following it would move every node's time line for good after one wrong clock.
"""


class HybridClock:
    """Wall milliseconds << 16 | counter; never goes back.

    Args:
        clock: Source of the wall time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._last = 0

    def now(self) -> int:
        """Returns a time after all times returned or observed so far."""
        wall = self._clock.wall_ms() << COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def observe(self, hlc: int) -> None:
        """Moves the clock past a time that came with a message."""
        limit_ms = self._clock.wall_ms() + MAX_AHEAD_MS
        if hlc >> COUNTER_BITS <= limit_ms:
            self._last = max(self._last, hlc)
