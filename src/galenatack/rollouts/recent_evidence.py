"""The latest part of cumulative outcomes."""

import collections
import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.messages import trial_evidence
from galenatack.model import route_evidence

WINDOW_S = 0.8
"""Three reports of a gate. When all calls come over, a busy service has a
hundred calls in this time, and a tenth of its calls may meet a fault at all."""

_Report = trial_evidence.TrialEvidence
_Route = route_evidence.RouteEvidence
_Key = tuple[str, int, str, str]


class RecentEvidence:
    """Subtracts what was known a window ago from the latest reports.

    A fault that begins late is diluted in cumulative counts by all the calls
    that were good before it.

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
    ) -> tuple[_Route, ...]:
        """Returns the outcomes of the last window.

        Args:
            order_revision: The order.
            reports: The latest report of each gate.
            version: Version on trial; of the others all outcomes count.
        """
        now_s = self._clock.monotonic_s()
        latest = {
            (report.node_id, report.boot_ms, item.route, item.version): item
            for report in reports
            for item in report.routes
        }
        history = self._snapshots[order_revision]
        history.append((now_s, latest))
        while len(history) > 1 and history[1][0] <= now_s - WINDOW_S:
            history.popleft()
        before = history[0][1]
        return tuple(
            _difference(item, before.get(key)) if key[3] == version else item
            for key, item in latest.items()
        )

    def forget(self, order_revisions: set[int]) -> None:
        """Drops the snapshots of all orders but these."""
        for revision in self._snapshots.keys() - order_revisions:
            del self._snapshots[revision]


def _difference(item: _Route, before: _Route | None) -> _Route:
    if before is None:
        return item
    old = dict(before.latency_buckets)
    buckets = tuple(
        (index, count - old.get(index, 0))
        for index, count in item.latency_buckets
        if count > old.get(index, 0)
    )
    return item._replace(
        calls=item.calls - before.calls,
        errors=item.errors - before.errors,
        warm_calls=item.warm_calls - before.warm_calls,
        latency_buckets=buckets,
    )
