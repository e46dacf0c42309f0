"""Clock of the command-line tool."""

import time


class ToolClock:
    """Real clock with blocking sleeps; tests replace it."""

    def wall_ms(self) -> int:
        """Returns the wall clock in milliseconds since the Unix epoch."""
        return time.time_ns() // 1_000_000

    def monotonic_s(self) -> float:
        """Returns the monotonic clock in seconds."""
        return time.monotonic()

    def sleep_s(self, duration_s: float) -> None:
        """Blocks for `duration_s` seconds."""
        time.sleep(duration_s)
