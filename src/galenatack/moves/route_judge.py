"""Judges one route of a move from its windows."""

import collections
import math

from galenatack.model import move_policy
from galenatack.moves import comparison
from galenatack.moves import latency_buckets
from galenatack.moves import old_rate
from galenatack.moves import route_verdict
from galenatack.moves import route_window
from galenatack.moves import sequential_test
from galenatack.moves import stratum

# Allows one false alarm in 10,000 for each test of each route: a deployment
# with 2,300 changes a day must not take good versions back by chance.
FAULTY_LOG = math.log(1e4)
# Higher threshold, because the long-run comparison spans different periods.
LONG_RUN_FAULTY_LOG = math.log(1e6)
# Above this evidence a route is not cleared, though not yet faulty.
SUSPECTED_LOG = math.log(20.0)
# Log likelihood ratio, by step, at which a route is clear: a version like the
# old one against a version as bad as the policy's margin. Early steps require
# less, because the next step gathers evidence faster.
CLEAR_LOG_BY_STEP = (0.1, 0.1, 0.5, 0.5)
PERMILLE = 1000.0
MAX_RATE = 0.99
# A version counts as good as the old one up to this fraction of the margin.
# Without it, a single error would weigh more the rarer errors are on the old
# version.
GOOD_MARGIN_FRACTION = 0.25

_Windows = dict[str, tuple[route_window.RouteWindow, route_window.RouteWindow]]


class RouteJudge:
    """Judges one route; each data centre is compared separately."""

    def __init__(
        self,
        route: str,
        *,
        policy: move_policy.MovePolicy,
        horizon_windows: int,
    ):
        self._route = route
        self._policy = policy
        self._margin = policy.error_margin_permille / PERMILLE
        self._strata: dict[str, stratum.Stratum] = {}
        self._new_calls = 0
        self._new_errors = 0
        self._pending: collections.deque[tuple[int, int]] = collections.deque()
        self._steady_calls = 0
        self._steady_errors = 0
        self._pooled = old_rate.OldRate()
        self._error_test = sequential_test.SequentialTest(
            horizon_windows=horizon_windows
        )
        self._slow_tests = {
            permille: sequential_test.SequentialTest(
                horizon_windows=horizon_windows
            )
            for permille in stratum.QUANTILES_PERMILLE
        }
        self._faulty_reason = ""

    def observe(self, windows: _Windows, *, is_incident: bool) -> None:
        """Adds one window: (new, old) for each data centre.

        Args:
            windows: By data centre.
            is_incident: True while the old version has more errors or slow
                calls than usual over all routes together; on a rare route
                alone an incident would be detected late.
        """
        total = self._add_counts(windows, is_incident=is_incident)
        errors = []
        is_local = False
        slow = {permille: [] for permille in self._slow_tests}
        for data_centre, (new, old) in sorted(windows.items()):
            state = self._stratum(data_centre)
            errors.append(state.compare_errors(new, old))
            is_local = is_local or state.errors.is_elevated
            for permille, parts in slow.items():
                part = state.compare_latency(new, old, permille=permille)
                if part is not None:
                    parts.append(part)
            state.add_latency(new, old, is_incident=is_incident)
        # Pooling the data centres detects a fault with fewer calls, but is
        # wrong while an incident affects only some of them.
        self._update(errors if is_local else [total], slow)

    def old_slow(self, windows: _Windows) -> tuple[int, int]:
        """Returns the numbers of warm and of slow calls of the old version."""
        calls = slow = 0
        for data_centre, (_, old) in windows.items():
            counts = self._stratum(data_centre).old_slow(old)
            calls += counts[0]
            slow += counts[1]
        return calls, slow

    def _stratum(self, data_centre: str) -> stratum.Stratum:
        known = self._strata.get(data_centre)
        if known is None:
            ratio = self._policy.latency_ratio_permille / PERMILLE
            known = stratum.Stratum(latency_ratio=ratio)
            self._strata[data_centre] = known
        return known

    def _update(
        self,
        errors: list[comparison.Comparison],
        slow: dict[int, list[comparison.Comparison]],
    ) -> None:
        self._error_test.update(tuple(errors))
        for permille, parts in slow.items():
            self._slow_tests[permille].update(tuple(parts))
        if not self._faulty_reason:
            self._faulty_reason = self._describe_fault()

    def _add_counts(
        self, windows: _Windows, *, is_incident: bool
    ) -> comparison.Comparison:
        new_calls = sum(new.calls for new, _ in windows.values())
        new_errors = sum(new.errors for new, _ in windows.values())
        self._new_calls += new_calls
        self._new_errors += new_errors
        old_calls = sum(old.calls for _, old in windows.values())
        old_errors = sum(old.errors for _, old in windows.values())
        self._pooled.add(
            old_calls, old_errors, new_calls=new_calls, is_incident=is_incident
        )
        self._add_steady(
            (new_calls, new_errors),
            is_incident=is_incident or self._pooled.is_elevated,
        )
        return comparison.Comparison(
            new_calls,
            new_errors,
            old_calls,
            old_errors,
            self._pooled.null_rate(),
        )

    def _add_steady(
        self, window: tuple[int, int], *, is_incident: bool
    ) -> None:
        """Counts a window once it is known that no incident began in it.

        Calls during an incident are not evidence about the version, and the
        first errors of an incident precede its detection.
        """
        self._pending.append(window)
        if is_incident:
            self._pending.clear()
        elif len(self._pending) > stratum.PENDING_WINDOWS:
            calls, errors = self._pending.popleft()
            self._steady_calls += calls
            self._steady_errors += errors

    def verdict(self, *, step: int = 0) -> route_verdict.RouteVerdict:
        """Returns the verdict over all windows so far, for a step."""
        clear_log = self._clear_log()
        evidence_log = max(
            -clear_log,
            self._error_log(),
            *(test.log_value() for test in self._slow_tests.values()),
        )
        is_suspected = evidence_log >= SUSPECTED_LOG
        judgement = route_verdict.Judgement.INSUFFICIENT
        reason = f"{self._new_calls} calls are not enough"
        if self._faulty_reason:
            judgement = route_verdict.Judgement.FAULTY
            reason = self._faulty_reason
        elif is_suspected:
            reason = f"evidence {evidence_log:.1f} against the version"
        elif self._has_enough_evidence(clear_log, step):
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

    def _has_enough_evidence(self, clear_log: float, step: int) -> bool:
        if self._steady_calls < self._policy.min_calls_per_route:
            return False
        return clear_log >= CLEAR_LOG_BY_STEP[step]

    def _clear_log(self) -> float:
        """Returns the log likelihood ratio of a good against a bad version.

        Good is as good as the old version, bad is as bad as the policy's
        margins, over the whole move except incidents. Negative values are
        evidence against the version. They need fewer calls than the tests by
        window, because all calls of the old version count, but detect a late
        fault later.
        """
        return min(self._long_run_error_log(), self._long_run_slow_log())

    def _long_run_error_log(self) -> float:
        old_rate = self._pooled.rate()
        good_rate = old_rate + self._margin * GOOD_MARGIN_FRACTION
        bad_rate = min(MAX_RATE, old_rate + self._margin)
        events, calls = self._steady_errors, self._steady_calls
        return (calls - events) * math.log(
            (1 - good_rate) / (1 - bad_rate)
        ) + events * math.log(good_rate / bad_rate)

    def _long_run_slow_log(self) -> float:
        return sum(state.slow_log_ratio() for state in self._strata.values())

    def _error_log(self) -> float:
        """Returns the evidence from errors, if their rate is not tolerated.

        With many calls even a difference that the policy tolerates becomes
        significant, but must not count.
        """
        limit = self._pooled.rate() + self._margin / 2
        if self._error_test.recent_rate() < limit:
            return -math.inf
        return self._error_test.log_value()

    def _describe_fault(self) -> str:
        if self._error_log() >= FAULTY_LOG:
            return (
                f"route {self._route}: {self._error_test.recent_rate():.1%} of "
                f"calls fail, {self._pooled.rate():.1%} on the old version"
            )
        if self._long_run_error_log() <= -LONG_RUN_FAULTY_LOG:
            return (
                f"route {self._route}: {self._steady_errors} of "
                f"{self._steady_calls} calls fail, {self._pooled.rate():.1%} "
                f"on the old version"
            )
        if self._long_run_slow_log() <= -LONG_RUN_FAULTY_LOG:
            return (
                f"route {self._route}: calls are slower than the policy "
                f"tolerates, median {self._median_ms():.1f} ms"
            )
        for permille, test in self._slow_tests.items():
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
