"""Chooses the target of a call.

Answers uneven load: targets that differ in speed, are cold, grey or busy, and
data centres that get more calls than their targets can run. A call goes where
the least of its worth is expected to be lost: by coming late, by failing, or on
the way over links that are billed by volume.
"""

import collections.abc
import math
import typing

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.model import proximity
from galenatack.traffic import gate_view

MS_PER_S = 1000.0

_NEAR = proximity.Proximity.OWN_DATA_CENTRE
_REGION = proximity.Proximity.OWN_REGION
_FAR = proximity.Proximity.OTHER_REGION

WAY_MS = {_NEAR: 1.0, _REGION: 4.0, _FAR: 64.0}
"""Time for the way there and back."""

WAY_COST = {_NEAR: 0.0, _REGION: 0.04, _FAR: 0.25}
"""Cost of the bytes as part of a call's worth: links between data centres are
billed by volume, the one between regions most, and all traffic shares it."""

BALANCE_COST = 0.08
"""Cost of an answer at half of the target latency: enough to even out load
within a data centre, less than the way to another one."""

MOST_FAR_COST = 0.5
"""A call crosses to another region only below this cost: when the other side is
as full as the own one, moving calls to and fro serves nobody."""

LATE_COST = 1.3
"""Rise of the cost for each target latency beyond half of it: there the chance
to miss it grows with the expected time, because service times vary."""

NOISE_SHARE = 0.08
"""Nodes that see the same reports must not all choose the same target."""

LEAST_RETRY_AFTER_MS = 80
FULL_RETRY_AFTER_MS = 120
"""About one service time: then slots that are taken now are free."""

RETRY_SPREAD = 0.5
"""Refused callers are spread over this share of the time."""


class _Candidate(typing.NamedTuple):
    """A target that may be chosen, and what is known of its gate."""

    member: member_record.MemberRecord
    view: gate_view.GateView
    way: proximity.Proximity


class TargetPlacement:
    """Keeps a view of each gate and chooses by expected time to an answer.

    Args:
        own: Data centre and region of this node.
        clock: Source of time.
        rng: Source of randomness.
        is_connected: Tells whether a link to a node is open.
    """

    def __init__(
        self,
        *,
        own: member_record.MemberRecord,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        is_connected: collections.abc.Callable[[str], bool],
    ):
        self._own = own
        self._clock = clock
        self._rng = rng
        self._is_connected = is_connected
        self._views: dict[str, gate_view.GateView] = {}

    def view(self, member: member_record.MemberRecord) -> gate_view.GateView:
        """Returns the view of a gate; a restart begins a new one."""
        known = self._views.get(member.node_id)
        if known is None or known.boot_ms != member.boot_ms:
            known = gate_view.GateView(boot_ms=member.boot_ms)
            self._views[member.node_id] = known
        return known

    def retain_only(self, node_ids: collections.abc.Set[str]) -> None:
        """Forgets the views of all nodes but these."""
        for node_id in self._views.keys() - node_ids:
            del self._views[node_id]

    def choose(
        self,
        members: collections.abc.Sequence[member_record.MemberRecord],
        *,
        route: host_route.HostRoute,
        left_ms: float,
        tried: collections.abc.Set[str],
    ) -> member_record.MemberRecord:
        """Returns the target with the least expected time to an answer.

        Args:
            members: Targets that may take the call.
            route: Route of the call.
            left_ms: Time until the caller must have an answer.
            tried: Nodes that were tried before.

        Raises:
            exceptions.NoTargetError: There is no target to try.
            exceptions.OverloadedError: None would answer in time.
        """
        fresh = [
            _Candidate(
                member,
                self.view(member),
                proximity.between(self._own, member),
            )
            for member in members
            if member.node_id not in tried
        ]
        if not fresh:
            raise exceptions.NoTargetError(
                "no target is left to try" if tried else "no target is known"
            )
        now_s = self._clock.monotonic_s()
        usable = self._usable(fresh, now_s)
        usable = self._with_room(usable, route.name, now_s)
        chosen = self._cheapest(usable, fresh, route, now_s)
        self._check_time(chosen[0], route, chosen[1], left_ms)
        return chosen[0].member

    def _usable(
        self, candidates: list[_Candidate], now_s: float
    ) -> list[_Candidate]:
        """Returns the best group that is not empty.

        Linked gates that take calls come first. When there is none, trying
        an ejected or unlinked one beats refusing the call.
        """
        own_id = self._own.node_id
        linked = [
            item
            for item in candidates
            if item.member.node_id == own_id
            or self._is_connected(item.member.node_id)
        ]
        taking = [item for item in linked if not item.view.is_ejected(now_s)]
        return taking or linked or candidates

    def _with_room(
        self, candidates: list[_Candidate], route: str, now_s: float
    ) -> list[_Candidate]:
        """Returns the targets whose gates did not just refuse such a call.

        Raises:
            exceptions.OverloadedError: All of them did.
        """
        found = [
            item
            for item in candidates
            if not item.view.is_refusing(route, now_s)
        ]
        if found:
            return found
        raise self._full(len(candidates))

    def _cheapest(
        self,
        usable: list[_Candidate],
        fresh: list[_Candidate],
        route: host_route.HostRoute,
        now_s: float,
    ) -> tuple[_Candidate, float]:
        """Returns the target of least cost and its time to an answer.

        Raises:
            exceptions.OverloadedError: Only targets of other regions are
                left, and crossing to them is not worth it.
        """
        typical_ms = _typical_ms(usable, route.name)
        has_near = any(item.way != _FAR for item in fresh)
        best = None
        least = math.inf
        for item in usable:
            answer_ms = _answer_ms(item, route.name, typical_ms, now_s)
            cost = _cost(item, route, answer_ms)
            cost *= 1.0 + self._rng.random() * NOISE_SHARE
            if item.way == _FAR and has_near and cost > MOST_FAR_COST:
                continue
            if cost < least:
                best, least = (item, answer_ms), cost
        if best is None:
            raise self._full(len(usable))
        return best

    def _full(self, gates: int) -> exceptions.OverloadedError:
        spread = 1.0 + self._rng.random() * RETRY_SPREAD
        return exceptions.OverloadedError(
            f"all {gates} gates are full",
            retry_after_ms=int(FULL_RETRY_AFTER_MS * spread),
        )

    def _check_time(
        self,
        best: _Candidate,
        route: host_route.HostRoute,
        answer_ms: float,
        left_ms: float,
    ) -> None:
        if answer_ms > left_ms:
            wait_ms = max(LEAST_RETRY_AFTER_MS, answer_ms - left_ms)
            raise exceptions.OverloadedError(
                f"an answer of {best.member.node_id} on {route.name} would"
                f" take {answer_ms:.0f} ms of {left_ms:.0f} ms",
                retry_after_ms=int(wait_ms),
            )


def _typical_ms(candidates: list[_Candidate], route: str) -> float:
    known = [
        time_ms
        for item in candidates
        if (time_ms := item.view.times.known_ms(route)) is not None
    ]
    return sum(known) / len(known) if known else 0.0


def _cost(
    item: _Candidate, route: host_route.HostRoute, answer_ms: float
) -> float:
    """Returns the expected loss as part of the call's worth."""
    aim_ms = route.target_latency_ms or route.timeout_ms
    lateness = _lateness((WAY_MS[item.way] + answer_ms) / aim_ms)
    failure_share = item.view.failure_permille / MS_PER_S
    return WAY_COST[item.way] + lateness + failure_share


def _answer_ms(
    item: _Candidate, route: str, typical_ms: float, now_s: float
) -> float:
    """Returns the expected time from the gate to an answer."""
    view = item.view
    service_ms = view.times.known_ms(route)
    if service_ms is None:
        service_ms = typical_ms
    slots = max(1, item.member.slots)
    wait_ms = view.wait_ms(route, slots, now_s)
    # Below the slots nothing waits; the load still evens out the targets.
    return service_ms + wait_ms + view.calls(now_s) / slots


def _lateness(ratio: float) -> float:
    """Returns the expected loss by the expected part of the target latency."""
    if ratio <= 0.5:
        return BALANCE_COST * ratio * 2
    return BALANCE_COST + LATE_COST * (ratio - 0.5)
