"""A token bucket."""

import time


class RateLimit:
    """Limits a rate; allows a burst of one second's units.

    Args:
        per_s: Units per second.
        now_s: Returns the current time in seconds.
    """

    def __init__(self, per_s: float, *, now_s=time.monotonic):
        self._per_s = per_s
        self._now_s = now_s
        self._tokens = per_s
        self._refilled_s = now_s()

    def take(self, units: int) -> bool:
        """Takes all units and returns True, or takes none."""
        now_s = self._now_s()
        refill = (now_s - self._refilled_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + refill)
        self._refilled_s = now_s
        if units > self._tokens:
            return False
        self._tokens -= units
        return True
