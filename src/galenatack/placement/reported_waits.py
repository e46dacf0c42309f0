"""Waits by priority that a gate has reported."""

from galenatack.model import gate_report

SHARE_SMOOTHING = 0.15
"""Weight of the latest answer in the share of the queue that a route waits
for: half of it comes from about the last five answers."""


class ReportedWaits:
    """Estimates the wait of a route from the reported waits by priority.

    Calls with a near deadline wait for a part of the calls of their priority
    only; this part is learned by route.
    """

    def __init__(self):
        self._waits_ms: tuple[int, ...] = ()
        self._shares: dict[str, float] = {}

    def apply(
        self, report: gate_report.GateReport, route: str, priority: int
    ) -> None:
        """Keeps the waits of a report in the answer of a call."""
        self._waits_ms = report.waits_ms
        queued_ms = self._queued_ms(priority)
        if queued_ms:
            known = self._shares.get(route, 1.0)
            latest = min(1.0, report.wait_ms / queued_ms)
            self._shares[route] = known + SHARE_SMOOTHING * (latest - known)

    def expected_ms(self, route: str, priority: int) -> float | None:
        """Returns the expected wait; None if none was reported."""
        queued_ms = self._queued_ms(priority)
        if queued_ms is None:
            return None
        return self._shares.get(route, 1.0) * queued_ms

    def _queued_ms(self, priority: int) -> int | None:
        if not self._waits_ms:
            return None
        return self._waits_ms[min(priority, len(self._waits_ms) - 1)]
