"""Chooses the version and the target of each attempt."""

import collections.abc
import typing

from galenatack import exceptions
from galenatack.model import move_state
from galenatack.routing import balancer as balancer_module
from galenatack.routing import byte_budget
from galenatack.routing import call_plan
from galenatack.routing import target_member

Place = collections.abc.Callable[[str, list[str]], str]

_Members = collections.abc.Sequence[target_member.TargetMember]


class VersionPicker(typing.Protocol):
    """Picks the version of a call during a move."""

    def __call__(
        self,
        move: move_state.MoveState,
        version_counts: collections.abc.Mapping[str, int],
        *,
        route: str,
    ) -> str:
        """Returns a version.

        Args:
            move: The running move.
            version_counts: Number of targets by version.
            route: Route of the call.
        """


class TargetChooser:
    """Chooses the version and the target of each attempt.

    Args:
        balancer: Chooses among the targets of one version.
        region_budget: Byte budget of the region link.
        version_picker: Picks the version of a call during a move.
        place: Picks the node for a plain idempotency key.
    """

    def __init__(
        self,
        *,
        balancer: balancer_module.Balancer,
        region_budget: byte_budget.ByteBudget,
        version_picker: VersionPicker,
        place: Place,
    ):
        self._balancer = balancer
        self._region_budget = region_budget
        self._version_picker = version_picker
        self._place = place

    def choose(
        self, plan: call_plan.CallPlan, tried: collections.abc.Set[str]
    ) -> target_member.TargetMember:
        """Returns a target that has not been tried yet.

        Raises:
            exceptions.TicketGoneError: The ticket's node is gone.
            exceptions.OverloadedError: All targets are at their limit.
            exceptions.NoTargetError: No untried target is left.
        """
        if plan.ticket is not None:
            return self._ticket_member(plan)
        failure: exceptions.CallError | None = None
        for version in self._versions(plan, bool(tried)):
            members = [
                member
                for member in plan.table.members[version]
                if member.node_id not in tried
            ]
            try:
                return self._choose_among(plan, members)
            except exceptions.OverloadedError as error:
                failure = error
            except exceptions.NoTargetError as error:
                failure = failure or error
        raise failure or exceptions.NoTargetError("no target")

    def _ticket_member(
        self, plan: call_plan.CallPlan
    ) -> target_member.TargetMember:
        member = plan.table.nodes.get(plan.ticket.node_id)
        if member is None:
            raise exceptions.TicketGoneError(
                f"node {plan.ticket.node_id} of the ticket is gone"
            )
        return member

    def _versions(
        self, plan: call_plan.CallPlan, is_retry: bool
    ) -> tuple[str, ...]:
        table = plan.table
        move = table.move
        if move is None or plan.route.pool not in table.moving_pools:
            return (table.pools[plan.route.pool].version,)
        if is_retry and table.members[move.from_version]:
            # Retries must not increase the share of the new version.
            return (move.from_version,)
        counts = {
            version: len(table.members[version])
            for version in (move.from_version, move.to_version)
        }
        version = self._version_picker(move, counts, route=plan.route.name)
        if version == move.to_version:
            return (move.to_version, move.from_version)
        if counts[move.from_version]:
            return (move.from_version,)
        return (move.from_version, move.to_version)

    def _choose_among(
        self, plan: call_plan.CallPlan, members: _Members
    ) -> target_member.TargetMember:
        if plan.request.posting:
            return self._choose_by_key(plan, members)
        limits = plan.table.limits
        return self._balancer.choose(
            members,
            slow_start_ms=limits.slow_start_ms,
            may_cross=self._may_cross(plan),
        )

    def _choose_by_key(
        self, plan: call_plan.CallPlan, members: _Members
    ) -> target_member.TargetMember:
        """Returns the target for a posting's idempotency key.

        The own region comes first: all nodes of a region choose the same target
        for a key, and the posting does not cross the region link.
        """
        same_region = [
            member
            for member in members
            if member.tier != target_member.OTHER_REGION
        ]
        all_regions = members if self._may_cross(plan) else ()
        for group in (same_region, all_regions):
            available = {
                member.node_id: member
                for member in self._balancer.available(group)
            }
            if available:
                node_id = self._place(
                    plan.request.idempotency_key, list(available)
                )
                return available[node_id]
        return self._balancer.choose(
            members,
            slow_start_ms=0,
            may_cross=self._may_cross(plan),
        )

    def _may_cross(self, plan: call_plan.CallPlan) -> bool:
        return self._region_budget.allows(
            plan.table.service,
            plan.table.limits.cross_region_bytes_per_s,
            len(plan.request.body),
        )
