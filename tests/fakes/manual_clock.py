"""A clock that a test sets by hand."""

from tests.fakes import virtual_clock


class ManualClock:
    """Implements `interfaces.clock.Clock` without an event loop.

    Attributes:
        ahead_ms: Error of the wall clock.
    """

    def __init__(self):
        self.now_s = 0.0
        self.ahead_ms = 0

    def advance(self, duration_s: float) -> None:
        """Advances the monotonic and the wall clock by `duration_s` seconds."""
        self.now_s += duration_s

    def monotonic_s(self) -> float:
        """Returns the time set by the test, in seconds."""
        return self.now_s

    def wall_ms(self) -> int:
        """Returns a wall clock that follows the set time."""
        now_ms = int(self.now_s * 1000)
        return virtual_clock.WALL_START_MS + now_ms + self.ahead_ms

    async def sleep_s(self, duration_s: float) -> None:
        """Advances the clock and returns immediately."""
        self.advance(duration_s)
