"""Counts of one route in one data centre, new version against old."""

import collections
import collections.abc
import math

from galenatack.moves import comparison
from galenatack.moves import latency_buckets
from galenatack.moves import old_rate
from galenatack.moves import route_window

# Latency thresholds: half and nine tenths of the old version's calls.
QUANTILES_PERMILLE = (500, 900)
# Fewer calls of the old version give its share of slow calls too coarsely.
MIN_LONG_RUN_CALLS = 50
# Windows wait this long, 5 s, before they count for the long run: on little
# traffic the first calls of an incident come before it is seen.
PENDING_WINDOWS = 10

_Buckets = collections.abc.Mapping[int, int]


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
        self.errors = old_rate.OldRate()
        self.old_buckets: collections.Counter[int] = collections.Counter()
        self.new_buckets: collections.Counter[int] = collections.Counter()
        self._pending: collections.deque[tuple[_Buckets, _Buckets]] = (
            collections.deque()
        )
        self._slow: dict[int, tuple[int, old_rate.OldRate]] = {}

    def compare_errors(
        self, new: route_window.RouteWindow, old: route_window.RouteWindow
    ) -> comparison.Comparison:
        """Adds a window and compares the errors."""
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
        """Compares the share of slow calls.

        A new call is slow above the threshold plus a shift, an old one above
        the threshold: when the new version is slower by less than the shift,
        its share of slow calls is no higher, for every distribution. The
        threshold comes from earlier windows only.
        """
        if sum(self.old_buckets.values()) < old_rate.MIN_HISTORY_CALLS:
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

    def _threshold(self, permille: int) -> tuple[int, old_rate.OldRate]:
        found = self._slow.get(permille)
        if found is None:
            limit = 1 + latency_buckets.quantile_index(
                self.old_buckets, permille
            )
            rate = old_rate.OldRate()
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
        has the old latencies times a factor below the tolerated ratio, and
        times a factor above it.
        """
        total = sum(self.old_buckets.values())
        calls = sum(self.new_buckets.values())
        if not calls or total < MIN_LONG_RUN_CALLS:
            return 0.0
        limit, _ = self._threshold(QUANTILES_PERMILLE[0])
        limit += self._shift
        slow = latency_buckets.count_from(self.new_buckets, limit)
        # One bucket less and one more than the tolerated ratio: calls that
        # are slower by exactly that ratio speak for neither.
        same = latency_buckets.count_from(self.old_buckets, limit - 1)
        worse = latency_buckets.count_from(
            self.old_buckets, limit - self._shift - 1
        )
        same_rate = (same + 1.0) / (total + 2.0)
        worse_rate = (worse + 1.0) / (total + 2.0)
        return slow * math.log(same_rate / worse_rate) + (
            calls - slow
        ) * math.log((1.0 - same_rate) / (1.0 - worse_rate))

    def old_slow(self, old: route_window.RouteWindow) -> tuple[int, int]:
        """Returns the old version's calls and the slowest tenth of them."""
        found = self._slow.get(QUANTILES_PERMILLE[-1])
        if found is None:
            return 0, 0
        slow = latency_buckets.count_from(old.buckets, found[0])
        return old.warm_calls, slow

    def add_latency(
        self,
        new: route_window.RouteWindow,
        old: route_window.RouteWindow,
        *,
        is_incident: bool,
    ) -> None:
        """Adds the latencies of a window, once no incident began in it."""
        self._pending.append((new.buckets, old.buckets))
        if is_incident or self.is_elevated():
            self._pending.clear()
        elif len(self._pending) > PENDING_WINDOWS:
            new_buckets, old_buckets = self._pending.popleft()
            self.new_buckets.update(new_buckets)
            self.old_buckets.update(old_buckets)
