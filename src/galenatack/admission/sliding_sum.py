"""Sum over a sliding window."""

import collections

BUCKETS = 10
"""Number of buckets of the window."""


def bucket_at(now_s: float, window_s: float) -> int:
    """Returns the number of the bucket at a time."""
    return int(now_s * BUCKETS / window_s)


class SlidingSum:
    """A sum of amounts, one for each bucket of time of the last window."""

    def __init__(self):
        self._amounts: collections.deque[tuple[int, float]] = (
            collections.deque()
        )
        self._sum = 0.0

    def add(self, bucket: int, amount: float = 1.0) -> None:
        """Adds an amount in the current bucket."""
        self._expire(bucket)
        if self._amounts and self._amounts[-1][0] == bucket:
            amount += self._amounts.pop()[1]
        self._amounts.append((bucket, amount))
        self._sum = sum(kept for _, kept in self._amounts)

    def total(self, bucket: int) -> float:
        """Returns the sum over the window that ends with the bucket."""
        self._expire(bucket)
        return self._sum

    def _expire(self, bucket: int) -> None:
        oldest = len(self._amounts)
        while self._amounts and self._amounts[0][0] <= bucket - BUCKETS:
            self._amounts.popleft()
        if len(self._amounts) != oldest:
            self._sum = sum(kept for _, kept in self._amounts)
