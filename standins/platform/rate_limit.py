"""A token bucket."""

import time


class RateLimit:
    """Allows a rate with a burst of one second's worth.

    Args:
        per_s: Units per second.
        now_s: Source of time in seconds.
    """

    def __init__(self, per_s: float, *, now_s=time.monotonic):
        self._per_s = per_s
        self._now_s = now_s
        self._tokens = per_s
        self._at_s = now_s()

    def take(self, units: int) -> bool:
        """Takes units, or none of them when too few are left."""
        now_s = self._now_s()
        refill = (now_s - self._at_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + refill)
        self._at_s = now_s
        if units > self._tokens:
            return False
        self._tokens -= units
        return True
