"""A node's part of the slack of the bound on retries."""

import collections

from galenatack.interfaces import clock as clock_interface
from galenatack.model import retry_bounds

KEPT_S = 600.0
"""Time for which a larger number of nodes counts: nodes that are cut off from
each other go on sharing the slack."""


class RetrySlack:
    """Divides the slack among the nodes.

    A node that has started has one retry and earns the rest of its part over a
    window: a run before may have spent it, and it may not know all nodes yet.

    Args:
        clock: Source of time.
        bounds: Bound of the deployment.

    Attributes:
        bounds: The same; may be replaced.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        bounds: retry_bounds.RetryBounds,
    ):
        self._clock = clock
        self._started_s = clock.monotonic_s()
        self._counts: collections.deque[tuple[float, int]] = collections.deque()
        self.bounds = bounds

    def set_nodes(self, nodes: int) -> None:
        """Sets how many nodes are known now."""
        now_s = self._clock.monotonic_s()
        # Only counts that are larger than all later ones matter.
        while self._counts and self._counts[-1][1] <= nodes:
            self._counts.pop()
        self._counts.append((now_s, nodes))

    def retries(self) -> float:
        """Returns how many retries this node may use in a window."""
        now_s = self._clock.monotonic_s()
        part = self.bounds.usable_slack / self._nodes(now_s)
        age_s = now_s - self._started_s
        return min(part, max(1.0, part * age_s / self.bounds.window_s))

    def _nodes(self, now_s: float) -> int:
        # The count before the last one was valid until that was set.
        while len(self._counts) > 1 and self._counts[1][0] < now_s - KEPT_S:
            self._counts.popleft()
        return max(1, self._counts[0][1]) if self._counts else 1
