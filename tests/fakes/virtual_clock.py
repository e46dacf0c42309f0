"""A clock driven by the event loop's virtual time."""

import anyio

WALL_START_MS = 1_800_000_000_000


class VirtualClock:
    """Implements `interfaces.clock.Clock` on the event loop's time.

    Args:
        skew_ms: Offset of the wall clock, for tests of clock skew.
    """

    def __init__(self, *, skew_ms: int = 0):
        self._skew_ms = skew_ms

    def monotonic_s(self) -> float:
        """Returns the event loop's time in seconds."""
        return anyio.current_time()

    def wall_ms(self) -> int:
        """Returns a wall clock that follows the event loop's time."""
        elapsed_ms = int(anyio.current_time() * 1000)
        return WALL_START_MS + self._skew_ms + elapsed_ms

    async def sleep_s(self, duration_s: float) -> None:
        """Suspends the task for `duration_s` seconds of virtual time."""
        await anyio.sleep(duration_s)
