"""Chooses the target of a call."""

import collections.abc

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module
from galenatack.interfaces import random_source
from galenatack.routing import target_load
from galenatack.routing import target_member

_MS_PER_S = 1000
# A limit opens again when calls end; that takes about one service time.
_FULL_RETRY_AFTER_MS = 200


class Balancer:
    """Power of two choices by tier, on this node's own calls in flight.

    Args:
        clock: Source of time.
        rng: Source of randomness.
    """

    def __init__(
        self,
        *,
        clock: clock_module.Clock,
        rng: random_source.RandomSource,
    ):
        self._clock = clock
        self._rng = rng
        self._loads: dict[str, target_load.TargetLoad] = {}

    def choose(
        self,
        members: collections.abc.Sequence[target_member.TargetMember],
        *,
        slow_start_ms: int,
        may_cross: bool,
    ) -> target_member.TargetMember:
        """Returns a target of the nearest tier that has one available.

        Args:
            members: Targets that may take the call.
            slow_start_ms: Time over which a new target reaches its full
                weight.
            may_cross: False when the call may not leave the region.

        Raises:
            exceptions.OverloadedError: All are at their limit.
            exceptions.NoTargetError: There are none.
        """
        reachable = [
            member
            for member in members
            if may_cross or member.tier != target_member.OTHER_REGION
        ]
        for tier in range(target_member.OTHER_REGION + 1):
            free = self.available(
                [member for member in reachable if member.tier == tier]
            )
            if free:
                return self._lighter(free, slow_start_ms / _MS_PER_S)
        return self._last_resort(reachable)

    def available(
        self,
        members: collections.abc.Iterable[target_member.TargetMember],
    ) -> list[target_member.TargetMember]:
        """Returns those that are not ejected and below their limit."""
        now_s = self._clock.monotonic_s()
        found = []
        for member in members:
            load = self.load(member)
            if load.ejected_until_s <= now_s and load.has_room():
                found.append(member)
        return found

    def load(
        self, member: target_member.TargetMember
    ) -> target_load.TargetLoad:
        """Returns the load of a target; a restart starts it afresh."""
        load = self._loads.get(member.node_id)
        if load is None or load.incarnation != member.incarnation:
            load = target_load.TargetLoad.initial(
                incarnation=member.incarnation,
                now_s=self._clock.monotonic_s(),
                slots=member.slots,
            )
            self._loads[member.node_id] = load
        return load

    def forget(self, node_ids: collections.abc.Set[str]) -> None:
        """Drops the loads of all nodes but these."""
        for node_id in self._loads.keys() - node_ids:
            del self._loads[node_id]

    def _lighter(
        self,
        free: list[target_member.TargetMember],
        slow_start_s: float,
    ) -> target_member.TargetMember:
        if len(free) == 1:
            return free[0]
        first = self._rng.randrange(len(free))
        second = self._rng.randrange(len(free) - 1)
        second += second >= first
        now_s = self._clock.monotonic_s()

        def burden(member: target_member.TargetMember) -> float:
            load = self.load(member)
            weight = load.weight(now_s, slow_start_s) * max(1, member.slots)
            return (load.in_flight + 1) / weight

        return min(free[first], free[second], key=burden)

    def _last_resort(
        self, members: list[target_member.TargetMember]
    ) -> target_member.TargetMember:
        """Probes an ejected target, one call at a time.

        After a partition has healed, waiting for the end of a long ejection
        would refuse calls that can be served.
        """
        now_s = self._clock.monotonic_s()
        ejected = [
            member
            for member in members
            if self.load(member).ejected_until_s > now_s
            and not self.load(member).in_flight
        ]
        if ejected:
            return min(
                ejected,
                key=lambda member: self.load(member).ejected_until_s,
            )
        if members:
            raise exceptions.OverloadedError(
                "all targets are at their limit",
                retry_after_ms=_FULL_RETRY_AFTER_MS,
            )
        raise exceptions.NoTargetError("no target can take the call")
