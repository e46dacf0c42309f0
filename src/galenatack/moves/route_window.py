"""Outcomes of one route on one version within a window of time."""

import collections.abc
import typing


class RouteWindow(typing.NamedTuple):
    """Outcomes of one route on one version in one data centre.

    Attributes:
        route: Name of the route.
        version: Target version.
        data_centre: Data centre of the gates.
        calls: Calls that ended within the window.
        errors: Calls that failed at the target.
        warm_calls: Calls whose latency was recorded.
        buckets: Latency histogram, count by bucket index.
    """

    route: str
    version: str
    data_centre: str
    calls: int
    errors: int
    warm_calls: int
    buckets: collections.abc.Mapping[int, int]
