"""Hybrid logical clock."""

from galenatack.interfaces import clock as clock_interface

COUNTER_BITS = 16

MAX_AHEAD_MS = 60_000
"""Timestamps further ahead of the wall clock are ignored.

Otherwise a single wrong clock would permanently advance the clocks of all
nodes.
"""


class HybridClock:
    """A monotonic clock of wall milliseconds << 16 | counter.

    Args:
        clock: Source of the wall time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._last = 0

    def now(self) -> int:
        """Returns a timestamp later than all returned or observed before."""
        wall = self._clock.wall_ms() << COUNTER_BITS
        self._last = max(self._last + 1, wall)
        return self._last

    def observe(self, hlc: int) -> None:
        """Advances the clock past a timestamp received with a message."""
        limit_ms = self._clock.wall_ms() + MAX_AHEAD_MS
        if hlc >> COUNTER_BITS <= limit_ms:
            self._last = max(self._last, hlc)
