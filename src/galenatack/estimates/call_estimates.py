"""Estimates of a node for the requests that it sends."""

import collections
import logging

from galenatack.estimates import cost_classes
from galenatack.estimates import elastic_share
from galenatack.estimates import gate_load
from galenatack.estimates import prediction_errors
from galenatack.estimates import request_cost
from galenatack.estimates import request_features
from galenatack.model import caller_request
from galenatack.model import gate_report
from galenatack.model import host_route

_LOGGER = logging.getLogger(__name__)

MIN_SAMPLES = 20
"""Calls of a class before its estimate is used: it then varies by a fifth of
the spread of its costs."""

STEADY = 0.3
"""Change of the slowdown during a call up to which its time is taken for the
permanent speed of its target."""

MAX_GROUPS = 256
MAX_ROUTES = 256
"""Bounds of the memory, far above what a node calls."""


class CallEstimates:
    """Estimates of a node for the requests that it sends.

    Implements `estimates.predictor.Predictor`. It learns from the answers that
    this node gets. Estimates are used where they have something to tell (a
    route has classes that differ, or a target reports that it is slow) and
    have not lately predicted worse than counting.

    Args:
        is_enabled: Whether estimates may be used at all.

    Attributes:
        is_enabled: Whether estimates may be used at all.
    """

    def __init__(self, *, is_enabled: bool):
        self.is_enabled = is_enabled
        self._classes = cost_classes.CostClasses()
        self._elastic: dict[str, elastic_share.ElasticShare] = (
            collections.defaultdict(elastic_share.ElasticShare)
        )
        self.errors: dict[str, prediction_errors.PredictionErrors] = (
            collections.defaultdict(prediction_errors.PredictionErrors)
        )
        self._has_slowdowns = False
        self.used_total = 0
        self.unused_total = 0

    @property
    def split_total(self) -> int:
        """Number of classes that differ from the rest of their routes."""
        return self._classes.split_total

    def cost(
        self,
        request: caller_request.CallerRequest,
        route: host_route.HostRoute,
        group: str,
        tenant: str = "",
    ) -> request_cost.RequestCost | None:
        """Returns what a request is expected to cost.

        Args:
            request: The request.
            route: Its route.
            group: Name of the targets that may run it.
            tenant: Name of its tenant.

        Returns:
            The cost, which has no estimate yet or is not used if there is
            nothing to tell; None if estimates are turned off.
        """
        cost = self.peek(request, route, group, tenant)
        if cost is not None and cost.is_used:
            self.used_total += 1
        else:
            self.unused_total += 1
        return cost

    def peek(
        self,
        request: caller_request.CallerRequest,
        route: host_route.HostRoute,
        group: str,
        tenant: str = "",
    ) -> request_cost.RequestCost | None:
        """Returns the same as `cost` for a request that is not sent."""
        if not self.is_enabled:
            return None
        features = request_features.of(request, route, tenant)
        cost = request_cost.RequestCost(features, route=route.name, group=group)
        found = self._classes.find(route.name, features)
        has_news = self._has_slowdowns or self._classes.is_split(route.name)
        if found is not None and found.samples >= MIN_SAMPLES and has_news:
            cost.work_ms = found.cost_ms
            cost.is_used = (
                group in self.errors and self.errors[group].is_estimate_better
            )
            cost.label = found.label
        return cost

    def answer_ms(
        self,
        view: gate_load.GateLoad,
        cost: request_cost.RequestCost,
        *,
        slots: int,
        now_s: float,
    ) -> float:
        """Returns the expected time at a gate and its target."""
        return sum(self.times_ms(view, cost, slots=slots, now_s=now_s))

    def times_ms(
        self,
        view: gate_load.GateLoad,
        cost: request_cost.RequestCost,
        *,
        slots: int,
        now_s: float,
    ) -> tuple[float, float]:
        """Returns the expected wait at a gate and time at its target.

        With fewer calls than slots there is no wait. Otherwise a slot is
        needed for each call beyond them, and slots become free at intervals
        of the mean rest of the calls there divided by the slots.
        """
        cost.slots = slots
        factor = self._factor(cost.route, view, now_s)
        service_ms = cost.work_ms * factor
        shared_ms = self._shared_wait_ms(view, cost, factor, now_s)
        wait_ms = view.work.wait_ms(cost.route, shared_ms, now_s)
        # No call waits while slots are free; the load term balances targets.
        return wait_ms, service_ms + view.calls(now_s) / slots

    def _factor(
        self, route: str, view: gate_load.GateLoad, now_s: float
    ) -> float:
        """Returns the time of a call at a target as a multiple of its work."""
        slowness = view.work.slowness
        slowdown = slowness.reported(now_s)
        return slowness.permanent(now_s) * self._elastic[route].factor(slowdown)

    def _shared_wait_ms(
        self,
        view: gate_load.GateLoad,
        cost: request_cost.RequestCost,
        factor: float,
        now_s: float,
    ) -> float:
        """Returns the wait for a slot in a queue that all calls share."""
        calls = view.calls(now_s) + view.work.queued_there(now_s)
        usable = view.usable_slots(cost.slots, cost.work_ms * factor, now_s)
        backlog_ms = view.work.backlog_ms(now_s) or calls * cost.work_ms
        rest_ms = factor * backlog_ms / max(1.0, calls)
        return max(0.0, calls + 1 - usable) * rest_ms / usable

    def record_sent(
        self,
        cost: request_cost.RequestCost | None,
        view: gate_load.GateLoad,
        now_s: float,
    ) -> None:
        """Records that a call is sent to a gate."""
        if cost is not None:
            view.work.add(cost.work_ms)
            cost.slowdown = view.work.slowness.reported(now_s)

    def record_ended(
        self,
        cost: request_cost.RequestCost | None,
        view: gate_load.GateLoad,
    ) -> None:
        """Records that a call has ended, with or without an answer."""
        if cost is not None:
            view.work.remove(cost.work_ms)

    def record_report(
        self,
        cost: request_cost.RequestCost | None,
        view: gate_load.GateLoad,
        report: gate_report.GateReport,
        *,
        took_ms: float,
        now_s: float,
    ) -> None:
        """Learns from the report in an answer.

        Args:
            cost: The expected cost.
            view: View of the gate, which the report has been applied to.
            report: The report.
            took_ms: Time at the gate and its target.
            now_s: The time.
        """
        if cost is None:
            return
        view.work.apply_report(report, now_s)
        factor = self._factor(cost.route, view, now_s)
        shared_ms = self._shared_wait_ms(view, cost, factor, now_s)
        view.work.correct(cost.route, report.wait_ms, shared_ms, now_s)
        slowness = view.work.slowness
        self._has_slowdowns = self._has_slowdowns or slowness.has_reported
        if not report.ran_ms:
            return
        if cost.work_ms:
            self._record_error(cost, took_ms)
        self._learn(cost, view, report, now_s)

    def _record_error(
        self, cost: request_cost.RequestCost, took_ms: float
    ) -> None:
        if len(self.errors) > MAX_GROUPS:
            self.errors.clear()
        errors = self.errors[cost.group]
        was_better = errors.is_estimate_better
        errors.record(
            estimated_ms=cost.estimated_ms,
            counted_ms=cost.counted_ms,
            actual_ms=took_ms,
        )
        if errors.is_estimate_better != was_better:
            _LOGGER.info(
                "event=%s service=%s estimate_error_ms=%.1f"
                " counting_error_ms=%.1f",
                "estimates-unused" if was_better else "estimates-used",
                cost.group,
                errors.estimated_ms,
                errors.counted_ms,
            )

    def _learn(
        self,
        cost: request_cost.RequestCost,
        view: gate_load.GateLoad,
        report: gate_report.GateReport,
        now_s: float,
    ) -> None:
        if len(self._elastic) > MAX_ROUTES:
            self._elastic.clear()
        slowness = view.work.slowness
        elastic = self._elastic[cost.route]
        load = view.work.load
        ended = load.slowdown if load else 1.0
        slowdown = (cost.slowdown + ended) / 2
        usual_ms = report.ran_ms / elastic.factor(slowdown)
        self._classes.record(
            cost.route, cost.features, usual_ms / slowness.permanent(now_s)
        )
        known = self._classes.find(cost.route, cost.features)
        if known is not None and known.samples >= MIN_SAMPLES:
            there_ms = known.cost_ms * slowness.permanent(now_s)
            elastic.record(report.ran_ms / there_ms, slowdown)
            # A call during which the machine changed tells little of it.
            if abs(cost.slowdown - ended) <= STEADY * cost.slowdown:
                slowness.record_ratio(usual_ms / known.cost_ms, now_s)
