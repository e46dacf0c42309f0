"""Judges one route of a move from its windows."""

import math

from galenatack.model import move_policy
from galenatack.moves import comparison
from galenatack.moves import latency_buckets
from galenatack.moves import route_verdict
from galenatack.moves import route_window
from galenatack.moves import sequential_test
from galenatack.moves import stratum

# One false alarm in 10,000 for each test of each route: a deployment that
# makes 2,300 changes a day must not take good versions back by chance.
FAULTY_LOG = math.log(1e4)
# At this weight of evidence a route is neither cleared nor called faulty.
SUSPECTED_LOG = math.log(20.0)
# A route is clear when a version as bad as the policy's margin is this much
# less likely than one like the old version. Early steps ask for less, because
# the next step is the faster way to learn more.
CLEAR_LOG_BY_STEP = (0.5, 1.0, 2.0, 3.0)
PERMILLE = 1000.0

_Windows = dict[str, tuple[route_window.RouteWindow, route_window.RouteWindow]]


class RouteJudge:
    """Judges one route; windows of each data centre are compared apart."""

    def __init__(
        self,
        route: str,
        *,
        policy: move_policy.MovePolicy,
        horizon_windows: int,
    ):
        self._route = route
        self._policy = policy
        self._strata: dict[str, stratum.Stratum] = {}
        self._new_calls = 0
        self._new_errors = 0
        self._old_calls = 0
        self._old_errors = 0
        self._errors = sequential_test.SequentialTest(
            horizon_windows=horizon_windows
        )
        self._slow = {
            permille: sequential_test.SequentialTest(
                horizon_windows=horizon_windows
            )
            for permille in stratum.QUANTILES_PERMILLE
        }
        self._faulty_reason = ""

    def observe(self, windows: _Windows) -> None:
        """Adds one window: (new, old) for each data centre."""
        margin = self._policy.error_margin_permille / PERMILLE
        errors = []
        slow = {permille: [] for permille in self._slow}
        for data_centre, (new, old) in sorted(windows.items()):
            self._count(new, old)
            state = self._strata.setdefault(data_centre, stratum.Stratum())
            errors.append(state.compare_errors(new, old, tolerance=margin / 2))
            for permille, parts in slow.items():
                part = state.compare_latency(new, old, permille=permille)
                if part is not None:
                    parts.append(part)
            state.add_latency(new, old)
        self._update(errors, slow)

    def _update(
        self,
        errors: list[comparison.Comparison],
        slow: dict[int, list[comparison.Comparison]],
    ) -> None:
        self._errors.update(tuple(errors))
        for permille, parts in slow.items():
            self._slow[permille].update(tuple(parts))
        if not self._faulty_reason:
            self._faulty_reason = self._find_fault()

    def _count(
        self, new: route_window.RouteWindow, old: route_window.RouteWindow
    ) -> None:
        self._new_calls += new.calls
        self._new_errors += new.errors
        self._old_calls += old.calls
        self._old_errors += old.errors

    def verdict(self, *, step: int = 0) -> route_verdict.RouteVerdict:
        """Returns the judgement of all windows so far, for a step."""
        evidence_log = max(
            self._errors.log_value(),
            *(test.log_value() for test in self._slow.values()),
        )
        is_suspected = evidence_log >= SUSPECTED_LOG
        judgement = route_verdict.Judgement.INSUFFICIENT
        reason = f"{self._new_calls} calls are not enough"
        if self._faulty_reason:
            judgement = route_verdict.Judgement.FAULTY
            reason = self._faulty_reason
        elif is_suspected:
            reason = f"evidence {evidence_log:.1f} against the version"
        elif self._is_enough(step):
            judgement = route_verdict.Judgement.CLEAR
            reason = f"{self._new_calls} calls without a fault"
        return route_verdict.RouteVerdict(
            self._route,
            judgement,
            reason,
            self._new_calls,
            self._new_errors,
            evidence_log,
            is_suspected,
        )

    def _is_enough(self, step: int) -> bool:
        if self._new_calls < self._policy.min_calls_per_route:
            return False
        old_rate = (self._old_errors + 0.5) / (self._old_calls + 1.0)
        margin = self._policy.error_margin_permille / PERMILLE
        bad_rate = min(0.99, old_rate + margin)
        events, calls = self._new_errors, self._new_calls
        log_ratio = (calls - events) * math.log(
            (1 - old_rate) / (1 - bad_rate)
        ) + events * math.log(old_rate / bad_rate)
        return (
            log_ratio >= CLEAR_LOG_BY_STEP[step] and self._is_latency_enough()
        )

    def _is_latency_enough(self) -> bool:
        warm = sum(
            sum(state.new_buckets.values()) for state in self._strata.values()
        )
        return warm >= self._policy.min_calls_per_route

    def _find_fault(self) -> str:
        margin = self._policy.error_margin_permille / PERMILLE
        if self._errors.log_value() >= FAULTY_LOG:
            rate = self._errors.recent_rate()
            old_rate = self._old_errors / max(1, self._old_calls)
            if rate >= old_rate + margin / 2:
                return (
                    f"route {self._route}: {rate:.1%} of calls fail, "
                    f"{old_rate:.1%} on the old version"
                )
        for permille, test in self._slow.items():
            if test.log_value() >= FAULTY_LOG:
                return (
                    f"route {self._route}: {test.recent_rate():.0%} of calls "
                    f"are slower than the old version's quantile {permille}, "
                    f"median {self._median_ms():.1f} ms"
                )
        return ""

    def _median_ms(self) -> float:
        total: dict[int, int] = {}
        for state in self._strata.values():
            for key, count in state.new_buckets.items():
                total[key] = total.get(key, 0) + count
        return latency_buckets.lower_ms(
            latency_buckets.quantile_index(total, 500)
        )
