"""Local view of the gate of one target."""

import math

from galenatack.admission import service_times
from galenatack.estimates import target_work
from galenatack.model import gate_report
from galenatack.placement import reported_waits
from galenatack.warmup import cold_view

REPORT_DECAY_S = 0.3
"""Time constant, a few service times, after which most of the other nodes'
calls in a report have ended."""

CURRENT_S = 0.5
"""Age of a report up to which calls are refused for it. Without a bound, one
answer that took as long as its route allows keeps all calls away for ever from
the only target of a service."""

MEAN_WAIT_S = 1.5
"""Time constant of the mean wait at a gate, toward which a report fades: slow
or popular targets have queues when nothing is heard of them."""

REFUSAL_TTL_S = 0.04
"""Time for which a gate that refused a call is considered full. A few slots
become free in this time, and as many other calls take them."""

MIN_USABLE_SLOTS = 0.1
"""Slots of a target with a very low rate limit: it is still tried if all other
targets are loaded ten times as much."""

MS_PER_S = 1000.0

MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
"""Bounds of the time without calls after a failed connection."""


class GateView:
    """Load and health of one gate as seen from this node.

    Args:
        boot_ms: Start time of the gate's node.

    Attributes:
        boot_ms: Start time of the gate's node.
        in_flight: This node's calls at the gate.
        failure_permille: Share of calls that its target fails, in thousandths.
        times: Service times by route.
        rate_limit_per_s: Calls per second that its target takes; None without
            a limit.
        cold: What is known of the target if it may be cold.
        work: What the target still has to do, by estimates.
    """

    def __init__(self, *, boot_ms: int):
        self.boot_ms = boot_ms
        self.in_flight = 0
        self.failure_permille = 0
        self.times = service_times.ServiceTimes()
        self.rate_limit_per_s: float | None = None
        self.cold = cold_view.ColdView()
        self.work = target_work.TargetWork()
        self._other_calls = 0
        self._reported_s = -math.inf
        self._waits = reported_waits.ReportedWaits()
        self._wait_reports: dict[str, tuple[float, float]] = {}
        self._mean_waits_ms: dict[str, tuple[float, float]] = {}
        self._admits_retries = True
        self._refused_until_s: dict[str, float] = {}
        self._ejections = 0
        self._ejected_until_s = -math.inf

    def apply_report(
        self,
        report: gate_report.GateReport,
        route: str,
        now_s: float,
        *,
        priority: int = 0,
        tenant: str = "",
    ) -> None:
        """Updates the view from the report in the answer of a call.

        Args:
            report: The report.
            route: Route of the call.
            now_s: Monotonic time now.
            priority: Priority of the call.
            tenant: Tenant of the call.
        """
        self._other_calls = max(
            0, report.running + report.queued - self.in_flight
        )
        self._reported_s = now_s
        self._note_mean_wait(route, float(report.wait_ms), now_s)
        self._wait_reports[_key(route, tenant)] = (
            now_s,
            float(report.wait_ms),
        )
        self._waits.apply(report, route, priority)
        self._ejections = 0
        self.failure_permille = report.failure_permille
        self._admits_retries = report.admits_retries
        if report.condition is not None:
            self.rate_limit_per_s = report.condition.rate_limit_per_s
        if report.ran_ms:
            self.times.record(route, report.ran_ms)

    def eject(self, now_s: float) -> None:
        """Ejects the gate for a while because it could not be reached."""
        pause_s = MIN_EJECTION_S * 2**self._ejections
        self._ejected_until_s = now_s + min(MAX_EJECTION_S, pause_s)
        self._ejections = min(self._ejections + 1, 8)

    def record_refusal(
        self, route: str, now_s: float, *, tenant: str = ""
    ) -> None:
        """Records that the gate refused a call of this route as overloaded."""
        until_s = now_s + REFUSAL_TTL_S
        self._refused_until_s[_key(route, tenant)] = until_s

    def is_refusing(
        self, route: str, now_s: float, *, tenant: str = ""
    ) -> bool:
        """Returns whether a call of this route would be refused again.

        A more urgent route may still be admitted, and a call of a tenant that
        has its turn.
        """
        return now_s < self._refused_until_s.get(_key(route, tenant), -math.inf)

    def is_refusing_retries(self, now_s: float) -> bool:
        """Returns whether a retry would be refused, by a recent report."""
        age_s = now_s - self._reported_s
        return not self._admits_retries and age_s < REPORT_DECAY_S

    def is_ejected(self, now_s: float) -> bool:
        """Returns whether the gate is ejected and should get no calls."""
        return now_s < self._ejected_until_s

    def readmit(self) -> None:
        """Ends an ejection early because the gate is reachable again."""
        self._ejected_until_s = -math.inf

    def is_current(self, now_s: float) -> bool:
        """Returns whether a call may be refused for what is known of it."""
        return now_s - self._reported_s < CURRENT_S

    def calls(self, now_s: float) -> float:
        """Returns the expected number of calls at the gate now."""
        age_s = max(0.0, now_s - self._reported_s)
        return self.in_flight + self._other_calls * math.exp(
            -age_s / REPORT_DECAY_S
        )

    def usable_slots(
        self, slots: int, service_ms: float, now_s: float
    ) -> float:
        """Returns how many slots the rate limit lets the target use.

        By Little's law, calls at the limited rate occupy this many slots.

        Args:
            slots: Slots of the target.
            service_ms: Service time of a call; 0 if it is not known.
            now_s: Monotonic time.
        """
        limits = [
            limit
            for limit in (self.rate_limit_per_s, self.cold.rate_per_s(now_s))
            if limit is not None
        ]
        if not limits or not service_ms:
            return slots
        limited = min(limits) * service_ms / MS_PER_S
        return max(MIN_USABLE_SLOTS, min(slots, limited))

    def wait_ms(
        self,
        route: str,
        slots: float,
        now_s: float,
        *,
        priority: int = 0,
        tenant: str = "",
    ) -> float:
        """Returns how long a call of a route would wait for a slot.

        A recent report of the gate for this route has precedence, because an
        urgent call is hardly delayed by a long queue. Without one, the waits by
        priority are used, and without these the estimate assumes one queue that
        all routes share.
        """
        load = (self.calls(now_s) + 1) / slots
        wait_ms = max(
            max(0.0, load - 1.0) * self.times.expected_ms(route),
            self._mean_wait_ms(route, now_s),
        )
        reported_ms = self._waits.expected_ms(route, priority)
        if reported_ms is not None:
            freshness = _freshness(now_s - self._reported_s)
            wait_ms += freshness * (reported_ms - wait_ms)
        known = self._wait_reports.get(_key(route, tenant))
        # A long body waits for the link of the gate as well.
        is_longer = known is not None and known[1] > wait_ms
        if known is not None and (tenant or reported_ms is None or is_longer):
            wait_ms += _freshness(now_s - known[0]) * (known[1] - wait_ms)
        return wait_ms

    def _note_mean_wait(self, route: str, wait_ms: float, now_s: float) -> None:
        mean_ms, noted_s = self._mean_waits_ms.get(route, (wait_ms, now_s))
        weight = 1.0 - math.exp((noted_s - now_s) / MEAN_WAIT_S)
        self._mean_waits_ms[route] = (
            mean_ms + weight * (wait_ms - mean_ms),
            now_s,
        )

    def _mean_wait_ms(self, route: str, now_s: float) -> float:
        """Returns the mean wait, which is forgotten while nothing is heard."""
        mean_ms, noted_s = self._mean_waits_ms.get(route, (0.0, now_s))
        return mean_ms * math.exp((noted_s - now_s) / MEAN_WAIT_S)


def _key(route: str, tenant: str) -> str:
    return f"{tenant}/{route}" if tenant else route


def _freshness(age_s: float) -> float:
    return math.exp(-max(0.0, age_s) / REPORT_DECAY_S)
