"""Pace of starts, bounded in each sliding second."""

import collections
import math

from galenatack.interfaces import clock as clock_interface

MS_PER_S = 1000.0

WINDOW_S = 1.0
PART_S = 0.25
"""Starts are bounded in each part of the second as well. Without it, a second's
starts could come at once, and two such bunches arrive at the target less than
a second apart if the first one is delayed on its way."""


class SlidingPace:
    """Counts the starts of the last second and tells when one may follow.

    A gate that has just been made does not know what the one before it sent, so
    it counts that as a full second.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._starts_s: collections.deque[float] = collections.deque()
        self._known_from_s = clock.monotonic_s()

    def record_start(self) -> None:
        """Counts a start now."""
        now_s = self._clock.monotonic_s()
        self._expire(now_s)
        self._starts_s.append(now_s)

    def recent(self) -> int:
        """Returns the number of starts in the last second."""
        self._expire(self._clock.monotonic_s())
        return len(self._starts_s)

    def wait_s(self, rate_per_s: float) -> float:
        """Returns when a start keeps the rate; 0 if one does now.

        Args:
            rate_per_s: Starts in each second, one at least.
        """
        now_s = self._clock.monotonic_s()
        self._expire(now_s)
        return max(
            0.0,
            self._known_from_s + WINDOW_S - now_s,
            self._free_s(math.floor(rate_per_s), WINDOW_S, now_s),
            self._free_s(math.ceil(rate_per_s * PART_S), PART_S, now_s),
        )

    def _free_s(self, starts: int, window_s: float, now_s: float) -> float:
        """Returns when the window holds fewer than a number of starts."""
        starts = max(1, starts)
        if len(self._starts_s) < starts:
            return 0.0
        return self._starts_s[-starts] + window_s - now_s

    def _expire(self, now_s: float) -> None:
        while self._starts_s and self._starts_s[0] <= now_s - WINDOW_S:
            self._starts_s.popleft()
