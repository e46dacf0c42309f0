"""Counts of one route in one data centre, new version against old."""

import collections
import math

from galenatack.moves import comparison
from galenatack.moves import latency_buckets
from galenatack.moves import route_window

# Latency thresholds: half and nine tenths of the old version's calls.
QUANTILES_PERMILLE = (500, 900)
# One bucket is a factor of 1.19: a new version that is slower by less than
# that is not slow at all, whatever the distribution looks like.
SLOW_SHIFT_BUCKETS = 1
MIN_HISTORY_CALLS = 40
RECENT_DECAY = 0.8
UPPER_BOUND_SIGMAS = 3.0


class Rate:
    """Event rate of the old version: its history and its last seconds."""

    def __init__(self):
        self.calls = 0
        self.events = 0
        self.recent_calls = 0.0
        self.recent_events = 0.0

    def add(self, calls: int, events: int) -> None:
        """Adds one window."""
        self.calls += calls
        self.events += events
        self.recent_calls = self.recent_calls * RECENT_DECAY + calls
        self.recent_events = self.recent_events * RECENT_DECAY + events

    def null_rate(self, tolerance: float) -> float:
        """Returns the highest rate that counts as normal; 1.0 if unknown."""
        if self.calls < MIN_HISTORY_CALLS:
            return 1.0
        recent = 0.0
        if self.recent_calls >= 1.0:
            recent = self.recent_events / self.recent_calls
        upper = max(_upper(self.events, self.calls), recent)
        return min(1.0, upper + tolerance)


class Stratum:
    """History of one route in one data centre.

    Attributes:
        errors: Error rate of the old version.
        old_buckets: Latencies of the old version.
        new_buckets: Latencies of the new version.
    """

    def __init__(self):
        self.errors = Rate()
        self.old_buckets: collections.Counter[int] = collections.Counter()
        self.new_buckets: collections.Counter[int] = collections.Counter()
        self._slow: dict[int, tuple[int, Rate]] = {}

    def compare_errors(
        self,
        new: route_window.RouteWindow,
        old: route_window.RouteWindow,
        *,
        tolerance: float,
    ) -> comparison.Comparison:
        """Adds a window and compares the errors."""
        self.errors.add(old.calls, old.errors)
        return comparison.Comparison(
            new.calls,
            new.errors,
            old.calls,
            old.errors,
            self.errors.null_rate(tolerance),
        )

    def compare_latency(
        self,
        new: route_window.RouteWindow,
        old: route_window.RouteWindow,
        *,
        permille: int,
    ) -> comparison.Comparison | None:
        """Compares the share of slow calls.

        A new call is slow above the threshold plus a shift, an old one above
        the threshold: when the new version is slower by less than the shift,
        its share of slow calls is no higher, for every distribution. The
        threshold comes from earlier windows only.
        """
        if sum(self.old_buckets.values()) < MIN_HISTORY_CALLS:
            return None
        if permille not in self._slow:
            limit = latency_buckets.quantile_index(self.old_buckets, permille)
            rate = Rate()
            total = sum(self.old_buckets.values())
            rate.add(
                total, latency_buckets.count_from(self.old_buckets, limit + 1)
            )
            self._slow[permille] = (limit + 1, rate)
        limit, rate = self._slow[permille]
        old_slow = latency_buckets.count_from(old.buckets, limit)
        rate.add(old.warm_calls, old_slow)
        return comparison.Comparison(
            new.warm_calls,
            latency_buckets.count_from(new.buckets, limit + SLOW_SHIFT_BUCKETS),
            old.warm_calls,
            old_slow,
            rate.null_rate(0.0),
        )

    def add_latency(
        self, new: route_window.RouteWindow, old: route_window.RouteWindow
    ) -> None:
        """Adds the latencies of a window, after the comparisons."""
        self.old_buckets.update(old.buckets)
        self.new_buckets.update(new.buckets)


def _upper(events: int, calls: int) -> float:
    """Returns an upper bound of a rate from `events` of `calls`."""
    rate = (events + 1) / (calls + 2)
    return rate + UPPER_BOUND_SIGMAS * math.sqrt(rate * (1 - rate) / calls)
