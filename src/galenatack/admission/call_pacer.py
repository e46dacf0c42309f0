"""Pace of the calls to a target that limits its rate.

A target in need names a rate. Calls above it would be refused by the target or
bring it down, while other targets of its service have room.
"""

from galenatack.interfaces import clock as clock_interface
from galenatack.routing import token_bucket

MIN_RATE_PER_S = 0.5
"""Pace of a target that takes no calls at all. Its answers are the only sign
that the limit has ended, so one call is sent now and then."""

BURST_S = 0.25
"""Calls of this time may start at once after a pause."""


class CallPacer:
    """Spaces the starts of calls by a rate limit that comes and goes.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._bucket: token_bucket.TokenBucket | None = None
        self._rate_per_s = 0.0
        self.limit_per_s: float | None = None

    def set_limit(self, limit_per_s: float | None) -> None:
        """Sets the limit in calls per second; None lifts it."""
        self.limit_per_s = limit_per_s
        if limit_per_s is None:
            self._bucket = None
            return
        self._rate_per_s = max(MIN_RATE_PER_S, limit_per_s)
        capacity = max(1.0, self._rate_per_s * BURST_S)
        if self._bucket is None:
            self._bucket = token_bucket.TokenBucket(
                clock=self._clock,
                rate_per_s=self._rate_per_s,
                capacity=capacity,
            )
            # The calls before the limit was known have used the burst.
            self._bucket.charge(capacity)
        else:
            self._bucket.set_rate(
                rate_per_s=self._rate_per_s, capacity=capacity
            )

    @property
    def interval_s(self) -> float:
        """Time between the starts of two calls; 0 without a limit."""
        return 0.0 if self._bucket is None else 1.0 / self._rate_per_s

    def wait_s(self, calls_ahead: float = 0) -> float:
        """Returns when a call may start, with others starting before it.

        Args:
            calls_ahead: Number of calls that start before it.
        """
        if self._bucket is None:
            return 0.0
        return self._bucket.delay_s(1.0) + calls_ahead / self._rate_per_s

    def record_start(self) -> None:
        """Counts a call that starts now."""
        if self._bucket is not None:
            self._bucket.charge(1.0)
