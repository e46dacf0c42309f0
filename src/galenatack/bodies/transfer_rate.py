"""Rate at which bodies arrive while at least one is on the way."""

import math

from galenatack.interfaces import clock as clock_interface

SMOOTHING_S = 1.0
"""Time constant: long enough for several bodies, short enough to follow a link
that becomes slow."""

MIN_PASSED_S = 0.0001
"""Parts that arrive together do not make the rate infinite."""

MS_PER_S = 1000.0


class TransferRate:
    """Measures the rate of arriving bytes, idle times left out.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._bytes_per_s = 0.0
        self._busy_since_s: float | None = None

    def start(self) -> None:
        """Notes that bytes are on the way."""
        if self._busy_since_s is None:
            self._busy_since_s = self._clock.monotonic_s()

    def add(self, size_bytes: int, *, is_last: bool) -> None:
        """Notes arrived bytes.

        Args:
            size_bytes: Number of bytes.
            is_last: Whether nothing else is on the way.
        """
        now_s = self._clock.monotonic_s()
        since_s = now_s if self._busy_since_s is None else self._busy_since_s
        passed_s = max(MIN_PASSED_S, now_s - since_s)
        latest = size_bytes / passed_s
        weight = 1.0 - math.exp(-passed_s / SMOOTHING_S)
        if self._bytes_per_s:
            self._bytes_per_s += weight * (latest - self._bytes_per_s)
        else:
            self._bytes_per_s = latest
        self._busy_since_s = None if is_last else now_s

    def time_ms(self, size_bytes: int) -> float:
        """Returns how long bytes take to arrive; 0 if that is not known."""
        if not self._bytes_per_s:
            return 0.0
        return size_bytes / self._bytes_per_s * MS_PER_S
