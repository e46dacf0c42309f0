"""Time that running calls still need, by how long they have run."""

import itertools
import math

FIRST = 0.1
GROWTH = 1.3
BUCKETS = 26
"""Buckets reach from a tenth to 70 times the estimate."""

PRIOR_CALLS = 20.0
HALVED_AT = 1000.0
REBUILD_PERIOD = 32
TAIL_SHARE = 0.5
"""Beyond all samples a call is expected to need half of the time that it has
run, as in a distribution with a tail of power 3."""

_EDGES = [FIRST * GROWTH**index for index in range(BUCKETS)]


class ResidualLife:
    """Distribution of the time of calls as a multiple of their estimate.

    A call that has run for longer than its estimate is likely in the tail, and
    needs more time than a new call rather than none. The distribution begins
    as an exponential one, in which each running call needs its whole estimate.
    """

    def __init__(self):
        bounds = [0.0, *_EDGES[1:], math.inf]
        self._counts = [
            PRIOR_CALLS * (math.exp(-low) - math.exp(-high))
            for low, high in itertools.pairwise(bounds)
        ]
        self._since_rebuild = 0
        self._above: list[tuple[float, float]] = []
        self._rebuild()

    def record(self, ratio: float) -> None:
        """Adds a call that ended after `ratio` times its estimate."""
        self._counts[_bucket(ratio)] += 1
        self._since_rebuild += 1
        if self._since_rebuild >= REBUILD_PERIOD:
            self._rebuild()

    def remaining(self, ratio: float) -> float:
        """Returns what a call still needs that has run for `ratio`.

        Both are multiples of the estimate.
        """
        index = _bucket(ratio)
        count, total = self._above[index]
        floor = TAIL_SHARE * (ratio if count < 1.0 else 0.0)
        mean = total / count if count else 0.0
        # The mean of a bucket may lie before the ratio.
        return max(floor, mean - ratio, _EDGES[index] * (GROWTH - 1) / 2)

    def _rebuild(self) -> None:
        self._since_rebuild = 0
        if sum(self._counts) > HALVED_AT:
            self._counts = [count / 2 for count in self._counts]
        self._above = []
        above_count = above_total = 0.0
        for edge, count in zip(
            reversed(_EDGES), reversed(self._counts), strict=True
        ):
            above_count += count
            above_total += count * edge * math.sqrt(GROWTH)
            self._above.append((above_count, above_total))
        self._above.reverse()


def _bucket(ratio: float) -> int:
    if ratio <= FIRST:
        return 0
    index = int(math.log(ratio / FIRST) / math.log(GROWTH))
    return min(index, BUCKETS - 1)
