"""Cumulative outcomes at one inbound gate."""

import collections

from galenatack.model import route_evidence
from galenatack.moves import latency_buckets


class _Counts:
    """Mutable counts of one route and version."""

    def __init__(self):
        self.calls = 0
        self.errors = 0
        self.warm_calls = 0
        self.buckets: collections.Counter[int] = collections.Counter()


class EvidenceCounter:
    """Counts outcomes by route and version; one counter for each move.

    Overload refusals are not evidence: the gate must not record calls that
    were refused before dispatch.
    """

    def __init__(self):
        self._counts: dict[tuple[str, str], _Counts] = {}

    def record(
        self,
        route: str,
        version: str,
        *,
        is_error: bool,
        latency_ms: float,
        is_warm: bool,
    ) -> None:
        """Counts one call that ended at the target.

        The latency of cold calls is ignored, because every newly started
        target would look slow. Their errors count like any others.
        """
        counts = self._counts.setdefault((route, version), _Counts())
        counts.calls += 1
        counts.errors += is_error
        if is_warm:
            counts.warm_calls += 1
            counts.buckets[latency_buckets.index_of(latency_ms)] += 1

    def report(self) -> tuple[route_evidence.RouteEvidence, ...]:
        """Returns the cumulative counts of all routes and versions."""
        return tuple(
            route_evidence.RouteEvidence(
                route,
                version,
                counts.calls,
                counts.errors,
                counts.warm_calls,
                tuple(sorted(counts.buckets.items())),
            )
            for (route, version), counts in sorted(self._counts.items())
        )
