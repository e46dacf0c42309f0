"""The real clock."""

import time

import anyio

from galenatack import steady_clock


class SystemClock:
    """Implements `interfaces.clock.Clock` on the system's clocks."""

    def monotonic_s(self) -> float:
        """Returns a monotonic clock in seconds that counts suspended time."""
        return steady_clock.now_s()

    def wall_ms(self) -> int:
        """Returns the wall clock in milliseconds."""
        return time.time_ns() // 1_000_000

    async def sleep_s(self, duration_s: float) -> None:
        """Suspends the task for `duration_s` seconds."""
        await anyio.sleep(duration_s)
