"""Latency and errors of the local target, for metrics."""

import collections
import typing

import hdrh.histogram

from galenatack.routing import dispatcher

MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Sample(typing.NamedTuple):
    """Figures of one route since the start of the node.

    Attributes:
        route: Name of the route.
        calls: Number of calls that ended at the target.
        errors: Number of those calls that failed.
        latency_ms: Latency in milliseconds by percentile.
    """

    route: str
    calls: int
    errors: int
    latency_ms: dict[float, float]


class TargetHistogram:
    """Records outcomes by route and passes them on.

    Args:
        on_outcome: Called with each outcome.
    """

    def __init__(self, *, on_outcome: dispatcher.OnOutcome):
        self._on_outcome = on_outcome
        self._latency: dict[str, hdrh.histogram.HdrHistogram] = {}
        self._errors: collections.Counter[str] = collections.Counter()

    def record(
        self, route: str, is_error: bool, latency_ms: float, is_warm: bool
    ) -> None:
        """Records one call that ended at the target."""
        histogram = self._latency.get(route)
        if histogram is None:
            histogram = self._latency[route] = hdrh.histogram.HdrHistogram(
                1, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        latency_us = int(latency_ms * US_PER_MS)
        histogram.record_value(min(MAX_LATENCY_US, max(1, latency_us)))
        self._errors[route] += is_error
        self._on_outcome(route, is_error, latency_ms, is_warm)

    def samples(self) -> tuple[Sample, ...]:
        """Returns the figures of all routes, sorted by name."""
        return tuple(
            Sample(
                route=route,
                calls=histogram.get_total_count(),
                errors=self._errors[route],
                latency_ms={
                    percentile: histogram.get_value_at_percentile(percentile)
                    / US_PER_MS
                    for percentile in PERCENTILES
                },
            )
            for route, histogram in sorted(self._latency.items())
        )
