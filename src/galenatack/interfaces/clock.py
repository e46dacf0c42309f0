"""Time, as decisions see it."""

import typing


class Clock(typing.Protocol):
    """Source of time; the only one that decisions use."""

    def monotonic_s(self) -> float:
        """Returns seconds that never go back, from an arbitrary start."""

    def wall_ms(self) -> int:
        """Returns the wall clock in milliseconds since the Unix epoch."""

    async def sleep_s(self, duration_s: float) -> None:
        """Suspends the task for `duration_s` seconds."""
