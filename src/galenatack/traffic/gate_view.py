"""What this node knows about the gate of one target."""

import math

from galenatack.model import gate_report
from galenatack.traffic import service_times

REPORT_DECAY_S = 0.3
"""The calls of others that a report counted have mostly ended after this
time; it is a few service times."""

REFUSAL_S = 0.04
"""A gate that refused a call has no room for this long: a few slots become
free meanwhile, and as many calls have come to take them."""

FIRST_EJECTION_S = 0.5
LONGEST_EJECTION_S = 4.0
"""Bounds of the time without calls after a failed link."""


class GateView:
    """Load and health of one gate as this node sees them.

    Args:
        boot_ms: Start of the node that has the gate.

    Attributes:
        boot_ms: Start of the node that has the gate.
        in_flight: This node's calls there.
        failure_permille: Share of calls that its target fails.
        times: Service times by route.
    """

    def __init__(self, *, boot_ms: int):
        self.boot_ms = boot_ms
        self.in_flight = 0
        self.failure_permille = 0
        self.times = service_times.ServiceTimes()
        self._others = 0
        self._reported_s = -math.inf
        self._waits: dict[str, tuple[float, float]] = {}
        self._refused_until_s: dict[str, float] = {}
        self._ejections = 0
        self._ejected_until_s = -math.inf

    def apply_report(
        self, report: gate_report.GateReport, route: str, now_s: float
    ) -> None:
        """Takes the report that came with an answer."""
        self._others = max(0, report.running + report.queued - self.in_flight)
        self._reported_s = now_s
        self._waits[route] = (now_s, float(report.wait_ms))
        self._ejections = 0
        self.failure_permille = report.failure_permille
        if report.ran_ms:
            self.times.record(route, report.ran_ms)

    def eject(self, now_s: float) -> None:
        """Notes that the gate could not be reached."""
        pause_s = FIRST_EJECTION_S * 2**self._ejections
        self._ejected_until_s = now_s + min(LONGEST_EJECTION_S, pause_s)
        self._ejections = min(self._ejections + 1, 8)

    def note_refusal(self, route: str, now_s: float) -> None:
        """Notes that the gate had no room for a call of this route."""
        self._refused_until_s[route] = now_s + REFUSAL_S

    def is_refusing(self, route: str, now_s: float) -> bool:
        """Tells whether a call of this route would be refused again.

        Another route may have room: it may be more urgent.
        """
        return now_s < self._refused_until_s.get(route, -math.inf)

    def is_ejected(self, now_s: float) -> bool:
        """Tells whether the gate should get no calls now."""
        return now_s < self._ejected_until_s

    def readmit(self) -> None:
        """Ends an ejection early, because the gate is reachable again."""
        self._ejected_until_s = -math.inf

    def calls(self, now_s: float) -> float:
        """Returns the calls that are expected at the gate now."""
        age_s = max(0.0, now_s - self._reported_s)
        return self.in_flight + self._others * math.exp(-age_s / REPORT_DECAY_S)

    def wait_ms(self, route: str, slots: int, now_s: float) -> float:
        """Returns how long a call of a route would wait for a slot.

        The gate's word for the route counts while it is fresh: an urgent
        call hardly waits behind a long queue. After that, and before any,
        the calls at the gate are taken for a queue that all routes share.
        """
        load = (self.calls(now_s) + 1) / slots
        shared_ms = max(0.0, load - 1.0) * self.times.expected_ms(route)
        told = self._waits.get(route)
        if told is None:
            return shared_ms
        freshness = math.exp((told[0] - now_s) / REPORT_DECAY_S)
        return freshness * told[1] + (1.0 - freshness) * shared_ms
