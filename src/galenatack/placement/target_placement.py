"""Chooses the target of a call.

Balances uneven load: targets that differ in speed, are cold, partly failing or
busy, and data centres that receive more calls than their targets can run. A
call goes to the target with the lowest expected cost, the sum of the costs of
lateness, of failure and of transfer over links that are billed by volume.
"""

import collections.abc
import math
import typing

from galenatack import exceptions
from galenatack.estimates import predictor as predictor_interface
from galenatack.estimates import request_cost
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import proximity
from galenatack.placement import assessment
from galenatack.placement import gate_view
from galenatack.placement import known_conditions
from galenatack.placement import verdict
from galenatack.placement import verdict_order

MS_PER_S = 1000.0

_SAME_DATA_CENTRE = proximity.Proximity.OWN_DATA_CENTRE
_SAME_REGION = proximity.Proximity.OWN_REGION
_OTHER_REGION = proximity.Proximity.OTHER_REGION

ROUND_TRIP_MS = {_SAME_DATA_CENTRE: 1.0, _SAME_REGION: 4.0, _OTHER_REGION: 64.0}
"""Round trip time to a target."""

TRANSFER_COST = {
    _SAME_DATA_CENTRE: 0.0,
    _SAME_REGION: 0.04,
    _OTHER_REGION: 0.25,
}
"""Cost of the transferred bytes, where 1 is the value of a call. Links between
data centres are billed by volume; the link between regions is the most
expensive and is shared by all traffic."""

BALANCE_COST = 0.08
"""Cost of an answer at half of the target latency: enough to balance the load
within a data centre, less than the cost of a transfer to another one."""

MAX_CROSS_REGION_COST = 0.5
"""A call is sent to another region only below this cost: if the other region is
equally full, exchanging calls between them gains nothing."""

LATE_COST = 1.3
"""Increase of the cost per target latency, from half of it upwards. The chance
of missing the target latency grows with the expected time there, because
service times vary."""

COST_JITTER = 0.08
"""Jitter as a share of the cost, which keeps nodes that see the same reports
from choosing the same target."""

MIN_RETRY_AFTER_MS = 80
FULL_GATES_RETRY_AFTER_MS = 120
"""About one service time, after which slots in use now are free again."""

RETRY_JITTER = 0.5
"""Jitter of the retry time as a share of it."""


class _Candidate(typing.NamedTuple):
    """A target that may be chosen, with the view of its gate."""

    member: member_record.MemberRecord
    view: gate_view.GateView
    distance: proximity.Proximity


class TargetPlacement:
    """Keeps a view of each gate and chooses the target of the lowest cost.

    Args:
        own: Record of this node, for its data centre and region.
        clock: Source of time.
        rng: Source of randomness.
        is_connected: Returns whether a link to a node is open.
        conditions: What targets have said of themselves.
        predictor: Expects answer times from estimates of the cost of requests;
            None to count calls only.
    """

    def __init__(
        self,
        *,
        own: member_record.MemberRecord,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        is_connected: collections.abc.Callable[[str], bool],
        conditions: known_conditions.KnownConditions,
        predictor: predictor_interface.Predictor | None = None,
    ):
        self._own = own
        self._clock = clock
        self._rng = rng
        self._is_connected = is_connected
        self._conditions = conditions
        self._predictor = predictor
        self._views: dict[str, gate_view.GateView] = {}

    def view(self, member: member_record.MemberRecord) -> gate_view.GateView:
        """Returns the view of a gate, a new one after the node restarted."""
        known = self._views.get(member.node_id)
        if known is None or known.boot_ms != member.boot_ms:
            known = gate_view.GateView(boot_ms=member.boot_ms)
            self._views[member.node_id] = known
        return known

    def round_trip_ms(self, member: member_record.MemberRecord) -> float:
        """Returns the round trip time to a target."""
        return ROUND_TRIP_MS[proximity.between(self._own, member)]

    def retain_only(self, node_ids: collections.abc.Set[str]) -> None:
        """Removes the views of all other nodes."""
        for node_id in self._views.keys() - node_ids:
            del self._views[node_id]

    def choose(
        self,
        members: collections.abc.Sequence[member_record.MemberRecord],
        *,
        route: host_route.HostRoute,
        left_ms: float,
        tried: collections.abc.Set[str],
        is_retry: bool = False,
        cost: request_cost.RequestCost | None = None,
    ) -> member_record.MemberRecord:
        """Returns the target with the lowest expected cost.

        Args:
            members: Targets that the call may be sent to.
            route: Route of the call.
            left_ms: Time until the caller must have an answer.
            tried: Ids of the nodes that were tried before.
            is_retry: Whether the call may have reached one of them.
            cost: What the request is expected to cost; receives the
                predictions for the chosen target.

        Raises:
            exceptions.NoTargetError: No untried target is left.
            exceptions.RetryRefusedError: No target takes retries now.
            exceptions.OverloadedError: No target is expected to answer in
                time.
        """
        untried = [
            _Candidate(
                member,
                self.view(member),
                proximity.between(self._own, member),
            )
            for member in members
            if member.node_id not in tried
            and not self._conditions.is_leaving(member)
        ]
        if not untried:
            raise exceptions.NoTargetError(
                "no target is left to try" if tried else "no target is known"
            )
        now_s = self._clock.monotonic_s()
        if is_retry:
            untried = _taking_retries(untried, now_s)
        usable = self._usable(untried, now_s)
        usable = self._with_room(usable, route.name, now_s)
        chosen = self._cheapest(usable, untried, route, cost, now_s)
        self._check_time(chosen[0], route, chosen[1], left_ms)
        return chosen[0].member

    def assess(
        self,
        members: collections.abc.Sequence[member_record.MemberRecord],
        *,
        route: host_route.HostRoute,
        left_ms: float,
        cost: request_cost.RequestCost | None = None,
    ) -> list[assessment.Assessment]:
        """Returns what `choose` would think of each target for a first attempt.

        It uses no randomness and changes nothing. The order is that of the
        cost.
        """
        now_s = self._clock.monotonic_s()
        all_of_them = [
            _Candidate(
                member, self.view(member), proximity.between(self._own, member)
            )
            for member in members
        ]
        staying = [
            candidate
            for candidate in all_of_them
            if not self._conditions.is_leaving(candidate.member)
        ]
        usable = self._usable(staying, now_s)
        usable_ids = {candidate.member.node_id for candidate in usable}
        typical_ms = _typical_ms(usable, route.name)
        found = []
        for candidate in all_of_them:
            answer_ms = self._estimated_ms(candidate, cost, now_s)
            is_estimated = answer_ms is not None
            if answer_ms is None:
                answer_ms = _answer_ms(candidate, route.name, typical_ms, now_s)
            obstacle = self._obstacle(candidate, usable_ids, route.name, now_s)
            if obstacle is None and answer_ms > left_ms:
                obstacle = verdict.Verdict.TOO_LATE
            found.append(
                _assessment(
                    candidate, route, obstacle, answer_ms, is_estimated, now_s
                )
            )
        return verdict_order.judged(
            found,
            max_cross_region_cost=MAX_CROSS_REGION_COST,
            jitter=COST_JITTER,
        )

    def _obstacle(
        self,
        candidate: _Candidate,
        usable_ids: collections.abc.Set[str],
        route: str,
        now_s: float,
    ) -> verdict.Verdict | None:
        """Returns why a candidate is not considered, None if it is."""
        if self._conditions.is_leaving(candidate.member):
            return verdict.Verdict.LEAVING
        if candidate.member.node_id not in usable_ids:
            if candidate.view.is_ejected(now_s):
                return verdict.Verdict.EJECTED
            return verdict.Verdict.NOT_CONNECTED
        if candidate.view.is_refusing(route, now_s):
            return verdict.Verdict.REFUSING
        return None

    def _usable(
        self, candidates: list[_Candidate], now_s: float
    ) -> list[_Candidate]:
        """Returns the best group of candidates that is not empty.

        Connected gates that are not ejected come first, then ejected ones,
        then all: an attempt is better than refusing the call.
        """
        own_id = self._own.node_id
        linked = [
            candidate
            for candidate in candidates
            if candidate.member.node_id == own_id
            or self._is_connected(candidate.member.node_id)
        ]
        accepting = [
            candidate
            for candidate in linked
            if not candidate.view.is_ejected(now_s)
        ]
        return accepting or linked or candidates

    def _with_room(
        self, candidates: list[_Candidate], route: str, now_s: float
    ) -> list[_Candidate]:
        """Returns the candidates that have not just refused such a call.

        Raises:
            exceptions.OverloadedError: All gates have just refused one.
        """
        with_room = [
            candidate
            for candidate in candidates
            if not candidate.view.is_refusing(route, now_s)
        ]
        if with_room:
            return with_room
        raise self._all_full(len(candidates))

    def _cheapest(
        self,
        usable: list[_Candidate],
        untried: list[_Candidate],
        route: host_route.HostRoute,
        request: request_cost.RequestCost | None,
        now_s: float,
    ) -> tuple[_Candidate, float]:
        """Returns the candidate of the lowest cost and its answer time in ms.

        Raises:
            exceptions.OverloadedError: Only targets in other regions are
                left, and each of them costs too much.
        """
        typical_ms = _typical_ms(usable, route.name)
        has_same_region = any(
            candidate.distance != _OTHER_REGION for candidate in untried
        )
        best = None
        lowest_cost = math.inf
        for candidate in usable:
            answer_ms = self._estimated_ms(candidate, request, now_s)
            if answer_ms is None:
                answer_ms = _answer_ms(candidate, route.name, typical_ms, now_s)
            cost = _cost(candidate, route, answer_ms)
            cost *= 1.0 + self._rng.random() * COST_JITTER
            if (
                candidate.distance == _OTHER_REGION
                and has_same_region
                and cost > MAX_CROSS_REGION_COST
            ):
                continue
            if cost < lowest_cost:
                best, lowest_cost = (candidate, answer_ms), cost
        if best is None:
            raise self._all_full(len(usable))
        if request is not None and request.work_ms:
            request.counted_ms = _answer_ms(
                best[0], route.name, typical_ms, now_s
            )
            self._note_estimate(best[0], request, now_s)
        return best

    def _estimated_ms(
        self,
        candidate: _Candidate,
        request: request_cost.RequestCost | None,
        now_s: float,
    ) -> float | None:
        """Returns the answer time by estimates, None if calls are counted."""
        if self._predictor is None or request is None or not request.is_used:
            return None
        return self._predictor.answer_ms(
            candidate.view,
            request,
            slots=max(1, candidate.member.slots),
            now_s=now_s,
        )

    def _note_estimate(
        self,
        chosen: _Candidate,
        request: request_cost.RequestCost,
        now_s: float,
    ) -> None:
        """Keeps the estimate for the chosen target, for the answer to judge."""
        if self._predictor is not None:
            request.estimated_ms = self._predictor.answer_ms(
                chosen.view,
                request,
                slots=max(1, chosen.member.slots),
                now_s=now_s,
            )

    def _all_full(self, gates: int) -> exceptions.OverloadedError:
        jitter = 1.0 + self._rng.random() * RETRY_JITTER
        return exceptions.OverloadedError(
            f"all {gates} gates are full",
            retry_after_ms=int(FULL_GATES_RETRY_AFTER_MS * jitter),
        )

    def _check_time(
        self,
        best: _Candidate,
        route: host_route.HostRoute,
        answer_ms: float,
        left_ms: float,
    ) -> None:
        if answer_ms > left_ms:
            wait_ms = max(MIN_RETRY_AFTER_MS, answer_ms - left_ms)
            raise exceptions.OverloadedError(
                f"an answer of {best.member.node_id} on {route.name} would"
                f" take {answer_ms:.0f} ms of {left_ms:.0f} ms",
                retry_after_ms=int(wait_ms),
            )


def _taking_retries(
    candidates: list[_Candidate], now_s: float
) -> list[_Candidate]:
    taking = [
        candidate
        for candidate in candidates
        if not candidate.view.is_refusing_retries(now_s)
    ]
    if taking:
        return taking
    raise exceptions.RetryRefusedError(
        f"none of {len(candidates)} gates takes retries",
        retry_after_ms=FULL_GATES_RETRY_AFTER_MS,
    )


def _typical_ms(candidates: list[_Candidate], route: str) -> float:
    known = [
        time_ms
        for candidate in candidates
        if (time_ms := candidate.view.times.known_ms(route)) is not None
    ]
    return sum(known) / len(known) if known else 0.0


def _cost(
    candidate: _Candidate, route: host_route.HostRoute, answer_ms: float
) -> float:
    """Returns the expected cost, where 1 is the value of the call."""
    target_latency_ms = route.target_latency_ms or route.timeout_ms
    lateness_cost = _lateness_cost(
        (ROUND_TRIP_MS[candidate.distance] + answer_ms) / target_latency_ms
    )
    failure_share = candidate.view.failure_permille / MS_PER_S
    return TRANSFER_COST[candidate.distance] + lateness_cost + failure_share


def _answer_ms(
    candidate: _Candidate, route: str, typical_ms: float, now_s: float
) -> float:
    """Returns the expected time at the gate and its target in ms."""
    view = candidate.view
    service_ms = view.times.known_ms(route)
    if service_ms is None:
        service_ms = typical_ms
    slots = view.usable_slots(max(1, candidate.member.slots), service_ms)
    wait_ms = view.wait_ms(route, slots, now_s)
    # No call waits while slots are free; the load term balances the targets.
    return service_ms + wait_ms + view.calls(now_s) / slots


def _lateness_cost(ratio: float) -> float:
    """Returns the cost of an answer after `ratio` of the target latency."""
    if ratio <= 0.5:
        return BALANCE_COST * ratio * 2
    return BALANCE_COST + LATE_COST * (ratio - 0.5)


def _assessment(
    candidate: _Candidate,
    route: host_route.HostRoute,
    obstacle: verdict.Verdict | None,
    answer_ms: float,
    is_estimated: bool,
    now_s: float,
) -> assessment.Assessment:
    view = candidate.view
    slots = max(1, candidate.member.slots)
    return assessment.Assessment(
        member=candidate.member,
        distance=candidate.distance,
        verdict=obstacle or verdict.Verdict.HIGHER_COST,
        calls=view.calls(now_s),
        answer_ms=answer_ms,
        cost=_cost(candidate, route, answer_ms),
        is_estimated=is_estimated,
        wait_ms=view.wait_ms(route.name, slots, now_s),
        slowdown=view.work.slowness.reported(now_s),
        slowness=view.work.slowness.permanent(now_s),
        backlog_ms=view.work.backlog_ms(now_s),
        failure_permille=view.failure_permille,
    )
