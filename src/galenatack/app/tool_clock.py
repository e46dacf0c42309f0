"""Time, as the command-line tool sees it."""

import time


class ToolClock:
    """The wall clock and blocking waits; tests replace it."""

    def wall_ms(self) -> int:
        """Returns the wall clock in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def monotonic_s(self) -> float:
        """Returns seconds that never go back."""
        return time.monotonic()

    def sleep_s(self, duration_s: float) -> None:
        """Blocks for `duration_s` seconds."""
        time.sleep(duration_s)
