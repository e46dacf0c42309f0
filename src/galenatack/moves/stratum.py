"""Compares the new version with the old on one route in one data centre."""

import collections
import collections.abc
import math

from galenatack.moves import comparison
from galenatack.moves import latency_buckets
from galenatack.moves import old_rate
from galenatack.moves import route_window

# Latency thresholds: quantiles of the old version's calls.
QUANTILES_PERMILLE = (500, 900)
# With fewer calls of the old version its share of slow calls is too coarse.
MIN_LONG_RUN_CALLS = 50
# Windows are held for 5 s before they enter the long-run counts: at low traffic
# the first calls of an incident precede its detection.
PENDING_WINDOWS = 10

_Buckets = collections.abc.Mapping[int, int]


class Stratum:
    """History of one route in one data centre.

    Attributes:
        errors: Error rate of the old version.
        old_buckets: Latencies of the old version.
        new_buckets: Latencies of the new version.

    Args:
        latency_ratio: Tolerated ratio of new to old latency.
    """

    def __init__(self, *, latency_ratio: float):
        octaves = math.log2(latency_ratio)
        # Rounded down: a ratio of 1.5 becomes 2 buckets, a factor of 1.41.
        self._shift_buckets = int(octaves * latency_buckets.BUCKETS_PER_OCTAVE)
        self.errors = old_rate.OldRate()
        self.old_buckets: collections.Counter[int] = collections.Counter()
        self.new_buckets: collections.Counter[int] = collections.Counter()
        self._pending: collections.deque[tuple[_Buckets, _Buckets]] = (
            collections.deque()
        )
        self._slow_rates: dict[int, tuple[int, old_rate.OldRate]] = {}

    def compare_errors(
        self, new: route_window.RouteWindow, old: route_window.RouteWindow
    ) -> comparison.Comparison:
        """Adds a window and returns its error counts for comparison."""
        self.errors.add(old.calls, old.errors, new_calls=new.calls)
        return comparison.Comparison(
            new.calls,
            new.errors,
            old.calls,
            old.errors,
            self.errors.null_rate(),
        )

    def compare_latency(
        self,
        new: route_window.RouteWindow,
        old: route_window.RouteWindow,
        *,
        permille: int,
    ) -> comparison.Comparison | None:
        """Adds a window and returns its counts of slow calls, or None.

        A call of the old version is slow above the threshold, one of the new
        version above the threshold plus a shift. A new version that is slower
        by less than the shift thus has no higher share of slow calls, for any
        latency distribution. The threshold comes from earlier windows only.
        None while the old version has too little history.
        """
        if sum(self.old_buckets.values()) < old_rate.MIN_HISTORY_CALLS:
            return None
        limit, rate = self._threshold(permille)
        old_slow = latency_buckets.count_from(old.buckets, limit)
        rate.add(old.warm_calls, old_slow, new_calls=new.warm_calls)
        return comparison.Comparison(
            new.warm_calls,
            latency_buckets.count_from(
                new.buckets, limit + self._shift_buckets
            ),
            old.warm_calls,
            old_slow,
            rate.null_rate(),
        )

    def _threshold(self, permille: int) -> tuple[int, old_rate.OldRate]:
        threshold = self._slow_rates.get(permille)
        if threshold is None:
            limit = 1 + latency_buckets.quantile_index(
                self.old_buckets, permille
            )
            rate = old_rate.OldRate()
            rate.add(
                sum(self.old_buckets.values()),
                latency_buckets.count_from(self.old_buckets, limit),
            )
            threshold = self._slow_rates[permille] = (limit, rate)
        return threshold

    def is_elevated(self) -> bool:
        """Returns whether an incident slows the old version here."""
        return any(rate.is_elevated for _, rate in self._slow_rates.values())

    def slow_log_ratio(self) -> float:
        """Returns the log likelihood ratio of "not slower" against "slower".

        Compares the shares of calls above the shifted old median, expected if
        the new version has the old latencies times a factor below and above
        the tolerated ratio.
        """
        total = sum(self.old_buckets.values())
        calls = sum(self.new_buckets.values())
        if not calls or total < MIN_LONG_RUN_CALLS:
            return 0.0
        limit, _ = self._threshold(QUANTILES_PERMILLE[0])
        limit += self._shift_buckets
        slow = latency_buckets.count_from(self.new_buckets, limit)
        # One bucket below and one above the tolerated ratio: calls slower by
        # exactly that ratio favour neither hypothesis.
        same = latency_buckets.count_from(self.old_buckets, limit - 1)
        worse = latency_buckets.count_from(
            self.old_buckets, limit - self._shift_buckets - 1
        )
        same_rate = (same + 1.0) / (total + 2.0)
        worse_rate = (worse + 1.0) / (total + 2.0)
        return slow * math.log(same_rate / worse_rate) + (
            calls - slow
        ) * math.log((1.0 - same_rate) / (1.0 - worse_rate))

    def old_slow(self, old: route_window.RouteWindow) -> tuple[int, int]:
        """Returns the numbers of the old version's calls and slow calls.

        Slow is above the 900 permille quantile of its history.
        """
        threshold = self._slow_rates.get(QUANTILES_PERMILLE[-1])
        if threshold is None:
            return 0, 0
        slow = latency_buckets.count_from(old.buckets, threshold[0])
        return old.warm_calls, slow

    def add_latency(
        self,
        new: route_window.RouteWindow,
        old: route_window.RouteWindow,
        *,
        is_incident: bool,
    ) -> None:
        """Adds a window's latencies unless an incident follows within 5 s."""
        self._pending.append((new.buckets, old.buckets))
        if is_incident or self.is_elevated():
            self._pending.clear()
        elif len(self._pending) > PENDING_WINDOWS:
            new_buckets, old_buckets = self._pending.popleft()
            self.new_buckets.update(new_buckets)
            self.old_buckets.update(old_buckets)
