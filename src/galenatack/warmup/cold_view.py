"""What a caller's node knows of a target that may be cold."""

import math

from galenatack import exceptions
from galenatack.model import call_result
from galenatack.model import gate_report

REPORT_TTL_S = 2.0
"""Time for which a report that the target is cold counts."""

MAX_DOUBLINGS = 5

MAX_PAUSE_S = 2.0
"""Longest pause after refusals. Many nodes share what a cold target takes: with
each refusal a node offers half as often."""

MS_PER_S = 1000.0


class ColdView:
    """Offers a cold target few calls more than it takes."""

    def __init__(self):
        self._rate_per_s: float | None = None
        self._reported_s = -math.inf
        self._refusals = 0
        self._paused_until_s = -math.inf

    def apply(
        self,
        report: gate_report.GateReport,
        result: call_result.CallResult,
        now_s: float,
    ) -> bool:
        """Updates the view from an answer; returns whether it is a refusal."""
        self._rate_per_s = report.cold_rate_per_s
        self._reported_s = now_s
        if report.cold_rate_per_s is None:
            self._refusals = 0
            self._paused_until_s = -math.inf
            return False
        if result.failure != exceptions.OverloadedError.code:
            self._refusals = max(0, self._refusals - 1)
            return False
        if now_s >= self._paused_until_s:
            # Calls that were sent together are refused together, and count
            # once.
            pause_s = result.retry_after_ms / MS_PER_S * 2**self._refusals
            self._paused_until_s = now_s + min(MAX_PAUSE_S, pause_s)
            self._refusals = min(MAX_DOUBLINGS, self._refusals + 1)
        return True

    def is_paused(self, now_s: float) -> bool:
        """Returns whether another call would probably be refused."""
        return now_s < self._paused_until_s

    def rate_per_s(self, now_s: float) -> float | None:
        """Returns the calls per second that the target takes, if cold."""
        if now_s - self._reported_s >= REPORT_TTL_S:
            return None
        return self._rate_per_s
