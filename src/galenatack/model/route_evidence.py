"""Cumulative call outcomes of one route on one target version."""

import typing


class RouteEvidence(typing.NamedTuple):
    """Cumulative call outcomes of one route on one target version.

    Attributes:
        route: Name of the route.
        version: Target version.
        calls: Number of calls that ended.
        errors: Number of calls that failed at the target.
        warm_calls: Number of calls outside of the cold start; only these are
            included in the latency.
        latency_buckets: Sparse histogram: (index, count); bucket i covers
            [2^(i/4), 2^((i+1)/4)) ms / 16.
    """

    route: str
    version: str
    calls: int
    errors: int
    warm_calls: int
    latency_buckets: tuple[tuple[int, int], ...]
