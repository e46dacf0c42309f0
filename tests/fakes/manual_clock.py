"""A clock that a test sets by hand."""

from tests.fakes import virtual_clock


class ManualClock:
    """Implements `interfaces.clock.Clock` without an event loop."""

    def __init__(self):
        self.now_s = 0.0

    def advance(self, duration_s: float) -> None:
        """Advances the monotonic and the wall clock by `duration_s` seconds."""
        self.now_s += duration_s

    def monotonic_s(self) -> float:
        """Returns the time set by the test, in seconds."""
        return self.now_s

    def wall_ms(self) -> int:
        """Returns a wall clock that follows the set time."""
        return virtual_clock.WALL_START_MS + int(self.now_s * 1000)

    async def sleep_s(self, duration_s: float) -> None:
        """Advances the clock and returns immediately."""
        self.advance(duration_s)
