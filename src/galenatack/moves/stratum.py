"""Counts of one route in one data centre, new version against old."""

import collections
import math

from galenatack.moves import comparison
from galenatack.moves import latency_buckets
from galenatack.moves import route_window

# Latency thresholds: half and nine tenths of the old version's calls.
QUANTILES_PERMILLE = (500, 900)
MIN_HISTORY_CALLS = 40
RECENT_DECAY = 0.8
UPPER_BOUND_SIGMAS = 2.0
ELEVATED_SIGMAS = 3.0
ELEVATED_EVENTS = 2.0


class Rate:
    """Event rate of the old version: its history and its last seconds.

    Attributes:
        is_elevated: True while the last seconds are above the history: an
            incident that strikes the old version too.
    """

    def __init__(self):
        self.is_elevated = False
        self._calls = 0
        self._events = 0
        self._recent_calls = 0.0
        self._recent_events = 0.0
        self._recent_new_calls = 0.0
        self._last = (0, 0, 0)

    def add(self, calls: int, events: int, *, new_calls: int = 0) -> None:
        """Adds one window; incidents do not enter the history."""
        self._recent_calls = self._recent_calls * RECENT_DECAY + calls
        self._recent_events = self._recent_events * RECENT_DECAY + events
        self._recent_new_calls = (
            self._recent_new_calls * RECENT_DECAY + new_calls
        )
        self._last = (calls, events, new_calls)
        expected = self.rate() * self._recent_calls
        limit = expected + ELEVATED_SIGMAS * math.sqrt(expected)
        self.is_elevated = (
            self._calls >= MIN_HISTORY_CALLS
            and self._recent_events > limit + ELEVATED_EVENTS
        )
        if not self.is_elevated:
            self._calls += calls
            self._events += events

    def rate(self) -> float:
        """Returns the event rate of the history."""
        return (self._events + 0.5) / (self._calls + 1.0)

    def null_rate(self) -> float:
        """Returns the highest rate that counts as normal; 1.0 if unknown."""
        if self._calls < MIN_HISTORY_CALLS:
            return 1.0
        return min(1.0, max(self._history_upper(), self.recent_upper()))

    def recent_upper(self) -> float:
        """Returns an upper bound of the rate of the last seconds.

        An incident shows on the old version as soon as on the new one, if
        the old one has as many calls. The fewer it has, the more calls are
        added to the bound that might have shown it.
        """
        recent = _upper_with_unseen(
            self._recent_calls, self._recent_events, self._recent_new_calls
        )
        # The last window alone shows the start of an incident sooner.
        return max(recent, _upper_with_unseen(*self._last))

    def _history_upper(self) -> float:
        return _upper((self._events + 1) / (self._calls + 2), self._calls)


class Stratum:
    """History of one route in one data centre.

    Attributes:
        errors: Error rate of the old version.
        old_buckets: Latencies of the old version.
        new_buckets: Latencies of the new version.

    Args:
        latency_ratio: Latency against the old version that is tolerated.
    """

    def __init__(self, *, latency_ratio: float):
        octaves = math.log2(latency_ratio)
        # Rounded down, 1.5 becomes 2 buckets or a factor of 1.41.
        self._shift = int(octaves * latency_buckets.BUCKETS_PER_OCTAVE)
        self.errors = Rate()
        self.old_buckets: collections.Counter[int] = collections.Counter()
        self.new_buckets: collections.Counter[int] = collections.Counter()
        self._slow: dict[int, tuple[int, Rate]] = {}

    def compare_errors(
        self,
        new: route_window.RouteWindow,
        old: route_window.RouteWindow,
        *,
        pooled: Rate,
    ) -> comparison.Comparison:
        """Adds a window and compares the errors.

        Args:
            new: Window of the new version.
            old: Window of the old version.
            pooled: Errors of the old version in all data centres; its
                history is longer, and this data centre's own last seconds
                show an incident that strikes only here.
        """
        self.errors.add(old.calls, old.errors, new_calls=new.calls)
        null_rate = pooled.null_rate()
        if self.errors.is_elevated:
            null_rate = max(null_rate, self.errors.recent_upper())
        return comparison.Comparison(
            new.calls, new.errors, old.calls, old.errors, null_rate
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
        limit, rate = self._threshold(permille)
        old_slow = latency_buckets.count_from(old.buckets, limit)
        rate.add(old.warm_calls, old_slow, new_calls=new.warm_calls)
        return comparison.Comparison(
            new.warm_calls,
            latency_buckets.count_from(new.buckets, limit + self._shift),
            old.warm_calls,
            old_slow,
            rate.null_rate(),
        )

    def _threshold(self, permille: int) -> tuple[int, Rate]:
        found = self._slow.get(permille)
        if found is None:
            limit = 1 + latency_buckets.quantile_index(
                self.old_buckets, permille
            )
            rate = Rate()
            rate.add(
                sum(self.old_buckets.values()),
                latency_buckets.count_from(self.old_buckets, limit),
            )
            found = self._slow[permille] = (limit, rate)
        return found

    def is_elevated(self) -> bool:
        """Tells whether an incident strikes the old version here."""
        return any(rate.is_elevated for _, rate in self._slow.values())

    def slow_log_ratio(self) -> float:
        """Returns how much better "not slow" explains the latencies.

        Compares the shares of calls above the old median, if the new version
        has the old latencies and if it has them times the tolerated ratio.
        """
        total = sum(self.old_buckets.values())
        calls = sum(self.new_buckets.values())
        if not calls or total < MIN_HISTORY_CALLS:
            return 0.0
        limit, _ = self._threshold(QUANTILES_PERMILLE[0])
        limit += self._shift
        slow = latency_buckets.count_from(self.new_buckets, limit)
        same = latency_buckets.count_from(self.old_buckets, limit)
        worse = latency_buckets.count_from(
            self.old_buckets, limit - self._shift
        )
        same_rate = (same + 1.0) / (total + 2.0)
        worse_rate = (worse + 1.0) / (total + 2.0)
        return slow * math.log(same_rate / worse_rate) + (
            calls - slow
        ) * math.log((1.0 - same_rate) / (1.0 - worse_rate))

    def add_latency(
        self, new: route_window.RouteWindow, old: route_window.RouteWindow
    ) -> None:
        """Adds the latencies of a window, after the comparisons."""
        self.old_buckets.update(old.buckets)
        self.new_buckets.update(new.buckets)


def _upper_with_unseen(calls: float, events: float, new_calls: float) -> float:
    if calls <= 0.0:
        return 1.0 if new_calls else 0.0
    unseen = min(1.0, new_calls / calls)
    return _upper((events + unseen) / (calls + 1.0), calls)


def _upper(rate: float, calls: float) -> float:
    """Returns an upper bound of a rate that was seen over `calls`."""
    sigma = math.sqrt(rate * (1.0 - rate) / calls)
    return min(1.0, rate + UPPER_BOUND_SIGMAS * sigma)
