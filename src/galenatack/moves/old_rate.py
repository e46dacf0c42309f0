"""Event rate of the old version: over its history and recent windows."""

import collections
import math

MIN_HISTORY_CALLS = 40
# The recent period is the shortest run of windows with this many calls of the
# old version, at most 20 windows (10 s). Fewer calls give no usable rate, and a
# longer period shows an incident late.
RECENT_CALLS = 30
RECENT_WINDOWS = 20
HISTORY_SIGMAS = 2.0
RECENT_SIGMAS = 1.0
SPARSE_CONTROL_SIGMAS = 2.0
# Ratio of old to new calls in a window below which an incident may be visible
# on the new version only.
SPARSE_CONTROL_RATIO = 0.5
ELEVATED_SIGMAS = 3.0
ELEVATED_EVENTS = 2.0


class OldRate:
    """Event rate of the old version, by window.

    Attributes:
        is_elevated: True while the recent rate is above the historical one,
            which indicates an incident that affects the old version too.
    """

    def __init__(self):
        self.is_elevated = False
        self._calls = 0
        self._events = 0
        self._windows: collections.deque[tuple[int, int, int]] = (
            collections.deque(maxlen=RECENT_WINDOWS)
        )

    def add(
        self,
        calls: int,
        events: int,
        *,
        new_calls: int = 0,
        is_incident: bool = False,
    ) -> None:
        """Adds one window; incidents are excluded from the history.

        Args:
            calls: Calls of the old version.
            events: Events among them.
            new_calls: Calls of the new version in the same window.
            is_incident: True while an incident is visible elsewhere, such as
                over all routes together.
        """
        self._windows.append((calls, events, new_calls))
        recent_calls, recent_events, _ = self._recent()
        expected = self.rate() * recent_calls
        limit = expected + ELEVATED_SIGMAS * math.sqrt(expected)
        self.is_elevated = (
            self._calls >= MIN_HISTORY_CALLS
            and recent_events > limit + ELEVATED_EVENTS
        )
        if not self.is_elevated and not is_incident:
            self._calls += calls
            self._events += events

    def rate(self) -> float:
        """Returns the historical event rate."""
        return (self._events + 0.5) / (self._calls + 1.0)

    def null_rate(self) -> float:
        """Returns the highest rate considered normal; 1.0 if unknown."""
        if self._calls < MIN_HISTORY_CALLS:
            return 1.0
        rate = (self._events + 1) / (self._calls + 2)
        history = _upper_bound(rate, self._calls, HISTORY_SIGMAS)
        return min(1.0, max(history, self.recent_upper_bound()))

    def recent_upper_bound(self) -> float:
        """Returns an upper bound of the recent rate.

        An incident is visible on the old version as soon as on the new one if
        both have as many calls. The fewer calls the old version has, the more
        unseen events are added to the bound.
        """
        recent = _upper_bound_with_unseen(*self._recent(), RECENT_SIGMAS)
        calls, events, new_calls = self._windows[-1]
        if calls >= new_calls * SPARSE_CONTROL_RATIO:
            return recent
        last = _upper_bound_with_unseen(
            calls, events, new_calls, SPARSE_CONTROL_SIGMAS
        )
        return max(recent, last)

    def _recent(self) -> tuple[int, int, int]:
        calls = events = new_calls = 0
        for window in reversed(self._windows):
            calls += window[0]
            events += window[1]
            new_calls += window[2]
            if calls >= RECENT_CALLS:
                break
        return calls, events, new_calls


def _upper_bound_with_unseen(
    calls: int, events: int, new_calls: int, sigmas: float
) -> float:
    if calls <= 0:
        return 1.0 if new_calls else 0.0
    unseen = min(1.0, new_calls / calls)
    return _upper_bound((events + unseen) / (calls + 1.0), calls, sigmas)


def _upper_bound(rate: float, calls: float, sigmas: float) -> float:
    """Returns an upper bound of a rate observed over `calls` calls."""
    return min(1.0, rate + sigmas * math.sqrt(rate * (1.0 - rate) / calls))
