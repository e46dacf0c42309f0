"""Outcomes of a recent window, computed from cumulative ones."""

import collections
import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.messages import trial_evidence
from galenatack.model import route_evidence

WINDOW_S = 0.8
"""Length of the window: three reports of a gate. After all calls have moved to
the new version, a busy service has a hundred calls in this time, and only a
tenth of its calls may be exposed to a fault at all."""

_Report = trial_evidence.TrialEvidence
_Route = route_evidence.RouteEvidence
_Key = tuple[str, int, str, str]


class RecentEvidence:
    """Subtracts the counts of one window ago from the latest reports.

    In cumulative counts, a fault that begins late is diluted by all the
    successful calls before it.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._snapshots: dict[
            int, collections.deque[tuple[float, dict[_Key, _Route]]]
        ] = collections.defaultdict(collections.deque)

    def since(
        self,
        order_revision: int,
        reports: collections.abc.Iterable[_Report],
        version: str,
    ) -> dict[str, list[_Route]]:
        """Returns the outcomes of each gate in the last window.

        Args:
            order_revision: Revision of the order.
            reports: The latest report of each gate.
            version: Version on trial. The outcomes of other versions are
                returned in full.
        """
        now_s = self._clock.monotonic_s()
        latest = {
            (
                report.node_id,
                report.boot_ms,
                evidence.route,
                evidence.version,
            ): evidence
            for report in reports
            for evidence in report.routes
        }
        history = self._snapshots[order_revision]
        history.append((now_s, latest))
        while len(history) > 1 and history[1][0] <= now_s - WINDOW_S:
            history.popleft()
        baseline = history[0][1]
        by_gate: dict[str, list[_Route]] = collections.defaultdict(list)
        for key, evidence in latest.items():
            if key[3] == version:
                evidence = _difference(evidence, baseline.get(key))
            by_gate[key[0]].append(evidence)
        return by_gate

    def retain_only(self, order_revisions: set[int]) -> None:
        """Removes the snapshots of all other orders."""
        for revision in self._snapshots.keys() - order_revisions:
            del self._snapshots[revision]


def _difference(evidence: _Route, baseline: _Route | None) -> _Route:
    if baseline is None:
        return evidence
    baseline_buckets = dict(baseline.latency_buckets)
    buckets = tuple(
        (index, count - baseline_buckets.get(index, 0))
        for index, count in evidence.latency_buckets
        if count > baseline_buckets.get(index, 0)
    )
    return evidence._replace(
        calls=evidence.calls - baseline.calls,
        errors=evidence.errors - baseline.errors,
        warm_calls=evidence.warm_calls - baseline.warm_calls,
        latency_buckets=buckets,
    )
