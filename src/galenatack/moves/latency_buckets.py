"""Logarithmic latency buckets.

Bucket i covers [2^(i/4), 2^((i+1)/4)) in units of 1/16 ms.
"""

import collections.abc
import math

BUCKETS_PER_OCTAVE = 4
UNITS_PER_MS = 16
MAX_INDEX = 4 * 24

Buckets = collections.abc.Mapping[int, int]


def index_of(latency_ms: float) -> int:
    """Returns the bucket of a latency; values below 1/16 ms share bucket 0."""
    scaled = latency_ms * UNITS_PER_MS
    if scaled <= 1.0:
        return 0
    return min(MAX_INDEX, int(BUCKETS_PER_OCTAVE * math.log2(scaled)))


def lower_ms(index: int) -> float:
    """Returns the lower bound of a bucket in milliseconds."""
    return 2.0 ** (index / BUCKETS_PER_OCTAVE) / UNITS_PER_MS


def count_from(buckets: Buckets, index: int) -> int:
    """Returns the number of latencies in bucket `index` or above."""
    return sum(count for key, count in buckets.items() if key >= index)


def quantile_index(buckets: Buckets, permille: int) -> int:
    """Returns the bucket that holds the quantile; 0 without latencies."""
    total = sum(buckets.values())
    seen = 0
    for key in sorted(buckets):
        seen += buckets[key]
        if seen * 1000 >= total * permille:
            return key
    return 0
