"""What one target still has to do, as seen by a caller's node."""

import math

from galenatack.estimates import target_slowness
from galenatack.model import gate_report
from galenatack.model import target_load

FADE_S = 0.3
"""Time constant, a few service times, after which most of the other nodes'
calls in a report have ended. It is that of the counting."""


class TargetWork:
    """What one target still has to do, as seen by a caller's node.

    Attributes:
        slowness: How long work takes at the target.
        load: Latest report of the target itself; None without one.
    """

    __slots__ = (
        "_corrections",
        "_others_ms",
        "_own_ms",
        "_reported_s",
        "load",
        "slowness",
    )

    def __init__(self):
        self.slowness = target_slowness.TargetSlowness()
        self.load: target_load.TargetLoad | None = None
        self._own_ms = 0.0
        self._others_ms = 0.0
        self._reported_s = -math.inf
        self._corrections: dict[str, tuple[float, float]] = {}

    def add(self, work_ms: float) -> None:
        """Adds an own call that is sent."""
        self._own_ms += work_ms

    def remove(self, work_ms: float) -> None:
        """Removes an own call that has ended."""
        self._own_ms = max(0.0, self._own_ms - work_ms)

    def apply_report(
        self, report: gate_report.GateReport, now_s: float
    ) -> None:
        """Applies the report in an answer."""
        self._others_ms = max(0.0, report.backlog_ms - self._own_ms)
        self._reported_s = now_s
        self.load = report.condition.load if report.condition else None
        if self.load is not None:
            self.slowness.apply_load(self.load, now_s)

    def backlog_ms(self, now_s: float) -> float:
        """Returns the work that is left, at the usual speed with one slot."""
        return self._own_ms + self._others_ms * self._freshness(
            self._reported_s, now_s
        )

    def queued_there(self, now_s: float) -> float:
        """Returns how many calls wait in the target's own queue."""
        if self.load is None or not self.load.queued:
            return 0.0
        return self.load.queued * self._freshness(self._reported_s, now_s)

    def correct(
        self, route: str, reported_ms: float, shared_ms: float, now_s: float
    ) -> None:
        """Learns by how much a route waits less or more than others.

        Args:
            route: The route.
            reported_ms: Wait that the gate has just reported for it.
            shared_ms: Wait in a queue that all calls share.
            now_s: The time.
        """
        self._corrections[route] = (now_s, reported_ms - shared_ms)

    def wait_ms(self, route: str, shared_ms: float, now_s: float) -> float:
        """Returns the expected wait for a slot.

        The report of the gate knows the priorities; the shared wait knows the
        calls that were sent since.

        Args:
            route: Route of the call.
            shared_ms: Wait in a queue that all calls share.
            now_s: The time.
        """
        reported_s, correction_ms = self._corrections.get(
            route, (-math.inf, 0.0)
        )
        freshness = self._freshness(reported_s, now_s)
        return max(0.0, shared_ms + freshness * correction_ms)

    @staticmethod
    def _freshness(reported_s: float, now_s: float) -> float:
        return math.exp((reported_s - now_s) / FADE_S)
