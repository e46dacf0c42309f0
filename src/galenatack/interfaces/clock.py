"""Interface of the clock."""

import typing


class Clock(typing.Protocol):
    """Source of time; code that makes decisions uses no other one."""

    def monotonic_s(self) -> float:
        """Returns monotonic time in seconds since an arbitrary start."""

    def wall_ms(self) -> int:
        """Returns the wall clock in milliseconds since the Unix epoch."""

    async def sleep_s(self, duration_s: float) -> None:
        """Suspends the task for `duration_s` seconds."""
