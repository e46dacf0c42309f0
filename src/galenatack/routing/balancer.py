"""Chooses the target of a call."""

import collections.abc

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module
from galenatack.interfaces import random_source
from galenatack.routing import target_load
from galenatack.routing import target_member

_MS_PER_S = 1000
# A target at its limit has room again when calls end, after about one service
# time.
_FULL_RETRY_AFTER_MS = 200


class Balancer:
    """Power of two choices by tier, based on this node's calls in flight.

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
        """Returns a target of the nearest tier that has an available one.

        Args:
            members: Targets that the call may be sent to.
            slow_start_ms: Time over which a new target reaches its full
                weight.
            may_cross: Whether the call may leave the region.

        Raises:
            exceptions.OverloadedError: All targets are at their limit.
            exceptions.NoTargetError: There is no target.
        """
        reachable = [
            member
            for member in members
            if may_cross or member.tier != target_member.OTHER_REGION
        ]
        for tier in range(target_member.OTHER_REGION + 1):
            candidates = self.available(
                [member for member in reachable if member.tier == tier]
            )
            if candidates:
                return self._pick_less_loaded(
                    candidates, slow_start_ms / _MS_PER_S
                )
        return self._probe_ejected(reachable)

    def available(
        self,
        members: collections.abc.Iterable[target_member.TargetMember],
    ) -> list[target_member.TargetMember]:
        """Returns the targets that are not ejected and below their limit."""
        now_s = self._clock.monotonic_s()
        usable = []
        for member in members:
            load = self.load(member)
            if load.ejected_until_s <= now_s and load.has_room():
                usable.append(member)
        return usable

    def load(
        self, member: target_member.TargetMember
    ) -> target_load.TargetLoad:
        """Returns the load of a target, a new one after a restart."""
        load = self._loads.get(member.node_id)
        if load is None or load.incarnation != member.incarnation:
            load = target_load.TargetLoad.initial(
                incarnation=member.incarnation,
                now_s=self._clock.monotonic_s(),
                slots=member.slots,
            )
            self._loads[member.node_id] = load
        return load

    def retain_only(self, node_ids: collections.abc.Set[str]) -> None:
        """Removes the loads of all other nodes."""
        for node_id in self._loads.keys() - node_ids:
            del self._loads[node_id]

    def _pick_less_loaded(
        self,
        candidates: list[target_member.TargetMember],
        slow_start_s: float,
    ) -> target_member.TargetMember:
        if len(candidates) == 1:
            return candidates[0]
        first = self._rng.randrange(len(candidates))
        second = self._rng.randrange(len(candidates) - 1)
        second += second >= first
        now_s = self._clock.monotonic_s()

        def weighted_load(member: target_member.TargetMember) -> float:
            load = self.load(member)
            weight = load.weight(now_s, slow_start_s) * max(1, member.slots)
            return (load.in_flight + 1) / weight

        return min(candidates[first], candidates[second], key=weighted_load)

    def _probe_ejected(
        self, members: list[target_member.TargetMember]
    ) -> target_member.TargetMember:
        """Returns an ejected target without calls in flight, as a probe.

        Without probes, calls that could be served would be refused after a
        partition has healed, until a long ejection ends.
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
