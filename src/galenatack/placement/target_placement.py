"""Chooses the target of a call.

Balances uneven load: targets that differ in speed, are cold, partly failing or
busy, and data centres that receive more calls than their targets can run. A
call goes to the target with the lowest expected cost, the sum of the costs of
lateness, of failure and of transfer over links that are billed by volume.
"""

import collections.abc
import typing

from galenatack import exceptions
from galenatack.admission import return_times
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
from galenatack.placement import offer as offer_module
from galenatack.placement import room_estimate
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

MAX_OFFERS = 5
"""Gates that a call is offered to with a limit on its wait. Most declined calls
find a free slot among so many gates."""

OFFER_SLACK_MS = 4.0
"""Wait that is shorter than being declined and offered elsewhere."""

OFFER_SLACK_SHARE = 0.25
"""Slack as a share of the wait that is expected at the next gate: when all are
busy, a small difference is not worth another offer."""

COST_JITTER = 0.08
"""Jitter as a share of the cost, which keeps nodes that see the same reports
from choosing the same target."""

MIN_RETRY_AFTER_MS = 80
FULL_GATES_RETRY_AFTER_MS = 120
"""About one service time, after which slots in use now are free again."""


class _Candidate(typing.NamedTuple):
    """A target that may be chosen, with the view of its gate."""

    member: member_record.MemberRecord
    view: gate_view.GateView
    distance: proximity.Proximity


class _Call(typing.NamedTuple):
    """What the choice of a target depends on."""

    route: host_route.HostRoute
    tenant: str = ""
    cost: request_cost.RequestCost | None = None


class _Ranked(typing.NamedTuple):
    """A candidate with its cost and expected answer time."""

    cost: float
    answer_ms: float
    wait_ms: float
    candidate: _Candidate


def _cost_of(ranked: _Ranked) -> float:
    return ranked.cost


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
        self._returns = return_times.ReturnTimes(clock=clock, rng=rng)
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
        tenant: str = "",
        cost: request_cost.RequestCost | None = None,
    ) -> member_record.MemberRecord:
        """Returns the target with the lowest expected cost; see `offer`."""
        return self.offer(
            members,
            route=route,
            left_ms=left_ms,
            tried=tried,
            is_retry=is_retry,
            tenant=tenant,
            cost=cost,
        ).member

    def offer(
        self,
        members: collections.abc.Sequence[member_record.MemberRecord],
        *,
        route: host_route.HostRoute,
        left_ms: float,
        tried: collections.abc.Set[str],
        is_retry: bool = False,
        asked: collections.abc.Set[str] = frozenset(),
        tenant: str = "",
        cost: request_cost.RequestCost | None = None,
    ) -> offer_module.Offer:
        """Returns the target with the lowest expected cost.

        A view is out of date where many nodes send a few calls each. The offer
        therefore has a limit: if the wait at the gate is longer, the call comes
        back at once, with a fresh report, and the next gate is better.

        Args:
            members: Targets that the call may be sent to.
            route: Route of the call.
            left_ms: Time until the caller must have an answer.
            tried: Ids of the nodes that were tried before.
            is_retry: Whether the call may have reached one of them.
            asked: Ids of the nodes that have declined the call, whose reports
                are fresh: chosen again, they get it without a limit.
            tenant: Tenant of the call; empty without one.
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
        usable = self._with_room(usable, route, now_s, tenant)
        call = _Call(route, tenant, cost)
        best, *others = self._ranked(usable, untried, call, now_s)
        if best.candidate.view.is_current(now_s):
            self._check_time(best.candidate, route, best.answer_ms, left_ms)
        member = best.candidate.member
        if not others or member.node_id in asked or len(asked) >= MAX_OFFERS:
            return offer_module.Offer(member)
        return offer_module.Offer(
            member, _max_wait_ms(best, others[0].cost, route)
        )

    def assess(
        self,
        members: collections.abc.Sequence[member_record.MemberRecord],
        *,
        route: host_route.HostRoute,
        left_ms: float,
        tenant: str = "",
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
        call = _Call(route, tenant, cost)
        found = []
        for candidate in all_of_them:
            wait_ms, run_ms = self._times_ms(candidate, call, typical_ms, now_s)
            answer_ms = wait_ms + run_ms
            obstacle = self._obstacle(candidate, usable_ids, call, now_s)
            is_refused = candidate.view.is_current(now_s)
            if obstacle is None and is_refused and answer_ms > left_ms:
                obstacle = verdict.Verdict.TOO_LATE
            found.append(
                _assessment(
                    candidate, route, obstacle, answer_ms, wait_ms, cost, now_s
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
        call: _Call,
        now_s: float,
    ) -> verdict.Verdict | None:
        """Returns why a candidate is not considered, None if it is."""
        if self._conditions.is_leaving(candidate.member):
            return verdict.Verdict.LEAVING
        if candidate.member.node_id not in usable_ids:
            if candidate.view.is_ejected(now_s):
                return verdict.Verdict.EJECTED
            return verdict.Verdict.NOT_CONNECTED
        is_refusing = candidate.view.is_refusing(
            call.route.name, now_s, tenant=call.tenant
        )
        if is_refusing or candidate.view.cold.is_paused(now_s):
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
        self,
        candidates: list[_Candidate],
        route: host_route.HostRoute,
        now_s: float,
        tenant: str,
    ) -> list[_Candidate]:
        """Returns the candidates that have not just refused such a call.

        Raises:
            exceptions.OverloadedError: All gates have just refused one.
        """
        with_room = [
            candidate
            for candidate in candidates
            if not candidate.view.is_refusing(route.name, now_s, tenant=tenant)
            and not candidate.view.cold.is_paused(now_s)
        ]
        if with_room:
            return with_room
        raise self._all_full(candidates, route, now_s, tenant)

    def _ranked(
        self,
        usable: list[_Candidate],
        untried: list[_Candidate],
        call: _Call,
        now_s: float,
    ) -> list[_Ranked]:
        """Returns the candidates by cost, the lowest first; not empty.

        Raises:
            exceptions.OverloadedError: Only targets in other regions are
                left, and each of them costs too much.
        """
        route, tenant = call.route, call.tenant
        typical_ms = _typical_ms(usable, route.name)
        has_same_region = any(
            candidate.distance != _OTHER_REGION for candidate in untried
        )
        ranked = []
        for candidate in usable:
            wait_ms, run_ms = self._times_ms(candidate, call, typical_ms, now_s)
            answer_ms = wait_ms + run_ms
            cost = _cost(candidate, route, answer_ms)
            cost *= 1.0 + self._rng.random() * COST_JITTER
            if (
                candidate.distance == _OTHER_REGION
                and has_same_region
                and cost > MAX_CROSS_REGION_COST
            ):
                continue
            ranked.append(_Ranked(cost, answer_ms, wait_ms, candidate))
        if not ranked:
            raise self._all_full(usable, route, now_s, tenant)
        ranked.sort(key=_cost_of)
        self._note_predictions(ranked[0].candidate, call, typical_ms, now_s)
        return ranked

    def _times_ms(
        self,
        candidate: _Candidate,
        call: _Call,
        typical_ms: float,
        now_s: float,
    ) -> tuple[float, float]:
        """Returns the expected wait at a gate and time at its target in ms."""
        is_used = call.cost is not None and call.cost.is_used
        if self._predictor is None or not is_used:
            return _counted_ms(candidate, call, typical_ms, now_s)
        return self._predictor.times_ms(
            candidate.view,
            call.cost,
            slots=max(1, candidate.member.slots),
            now_s=now_s,
        )

    def _note_predictions(
        self,
        chosen: _Candidate,
        call: _Call,
        typical_ms: float,
        now_s: float,
    ) -> None:
        """Keeps both predictions for a target, for the answer to judge."""
        request = call.cost
        if self._predictor is None or request is None or not request.work_ms:
            return
        request.counted_ms = sum(_counted_ms(chosen, call, typical_ms, now_s))
        request.estimated_ms = sum(
            self._predictor.times_ms(
                chosen.view,
                request,
                slots=max(1, chosen.member.slots),
                now_s=now_s,
            )
        )

    def _all_full(
        self,
        candidates: list[_Candidate],
        route: host_route.HostRoute,
        now_s: float,
        tenant: str,
    ) -> exceptions.OverloadedError:
        room = room_estimate.of(
            [candidate.view for candidate in candidates],
            [candidate.member.slots for candidate in candidates],
            route=route,
            now_s=now_s,
            tenant=tenant,
        )
        return exceptions.OverloadedError(
            f"all {len(candidates)} gates are full",
            retry_after_ms=self._returns.book_ms(
                max(FULL_GATES_RETRY_AFTER_MS, room.wait_ms),
                room.interval_ms,
                route.timeout_ms,
                priority=route.priority,
                tenant=tenant,
            ),
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
        _total_ms(candidate, answer_ms) / target_latency_ms
    )
    failure_share = candidate.view.failure_permille / MS_PER_S
    return TRANSFER_COST[candidate.distance] + lateness_cost + failure_share


def _counted_ms(
    candidate: _Candidate, call: _Call, typical_ms: float, now_s: float
) -> tuple[float, float]:
    """Returns the wait at a gate and the time at its target by counting."""
    view, route = candidate.view, call.route
    service_ms = view.times.known_ms(route.name)
    if service_ms is None:
        service_ms = typical_ms
    slots = view.usable_slots(max(1, candidate.member.slots), service_ms, now_s)
    wait_ms = view.wait_ms(
        route.name, slots, now_s, priority=route.priority, tenant=call.tenant
    )
    # No call waits while slots are free; the load term balances the targets.
    run_ms = service_ms + view.calls(now_s) / slots
    return wait_ms, run_ms


def _max_wait_ms(
    best: _Ranked, next_cost: float, route: host_route.HostRoute
) -> int:
    """Returns the wait at a gate at which the next one would cost less."""
    target_latency_ms = route.target_latency_ms or route.timeout_ms
    fixed_cost = best.cost - _lateness_cost(
        _total_ms(best.candidate, best.answer_ms) / target_latency_ms
    )
    limit_ms = _lateness_ratio(next_cost - fixed_cost) * target_latency_ms
    running_ms = _total_ms(best.candidate, best.answer_ms - best.wait_ms)
    wait_ms = max(0.0, limit_ms - running_ms)
    # Reports of other nodes may be of any size.
    wait_ms = min(wait_ms, route.timeout_ms)
    return int(wait_ms * (1.0 + OFFER_SLACK_SHARE) + OFFER_SLACK_MS)


def _total_ms(candidate: _Candidate, answer_ms: float) -> float:
    """Returns the time until the answer is here."""
    return ROUND_TRIP_MS[candidate.distance] + answer_ms


def _lateness_ratio(cost: float) -> float:
    """Returns the share of the target latency at which lateness costs that."""
    if cost <= BALANCE_COST:
        return max(0.0, cost) / (BALANCE_COST * 2)
    return 0.5 + (cost - BALANCE_COST) / LATE_COST


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
    wait_ms: float,
    cost: request_cost.RequestCost | None,
    now_s: float,
) -> assessment.Assessment:
    view = candidate.view
    return assessment.Assessment(
        member=candidate.member,
        distance=candidate.distance,
        verdict=obstacle or verdict.Verdict.HIGHER_COST,
        calls=view.calls(now_s),
        answer_ms=answer_ms,
        cost=_cost(candidate, route, answer_ms),
        is_estimated=cost is not None and cost.is_used,
        wait_ms=wait_ms,
        slowdown=view.work.slowness.reported(now_s),
        slowness=view.work.slowness.permanent(now_s),
        backlog_ms=view.work.backlog_ms(now_s),
        failure_permille=view.failure_permille,
    )
