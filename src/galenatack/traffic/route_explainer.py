"""Explains where a request would go now."""

import typing

from galenatack import exceptions
from galenatack.estimates import call_estimates
from galenatack.model import caller_request
from galenatack.model import host_route
from galenatack.model import member_record
from galenatack.placement import assessment
from galenatack.placement import target_placement
from galenatack.rollouts import rollout_registry
from galenatack.traffic import config_holder
from galenatack.traffic import target_directory

Facts = dict[str, typing.Any]


class RouteExplainer:
    """Explains where a request would go now, without sending it.

    Args:
        config: The configuration in force.
        directory: Targets by service and version.
        rollouts: Orders and progress of versions.
        placement: Chooses the target.
        estimates: Estimates of what requests cost.
    """

    def __init__(
        self,
        *,
        config: config_holder.ConfigHolder,
        directory: target_directory.TargetDirectory,
        rollouts: rollout_registry.RolloutRegistry,
        placement: target_placement.TargetPlacement,
        estimates: call_estimates.CallEstimates,
    ):
        self._config = config
        self._directory = directory
        self._rollouts = rollouts
        self._placement = placement
        self._estimates = estimates

    def explain(
        self, request: caller_request.CallerRequest, tenant: str = ""
    ) -> Facts:
        """Returns the route of a request and what is thought of its targets.

        Raises:
            exceptions.NoTargetError: There is no configuration yet.
            exceptions.NoRouteError: No route matches.
        """
        table = self._config.table
        if table is None:
            raise exceptions.NoTargetError("no configuration yet")
        route = table.find(request.host, request.path)
        if route is None:
            raise exceptions.NoRouteError("no route matches")
        return {
            "config": table.version,
            "route": route.name,
            "priority": route.priority,
            "target_latency_ms": route.target_latency_ms,
            "timeout_ms": route.timeout_ms,
            "is_idempotent": route.is_idempotent,
            "unknown_parts": list(route.unknowns),
            "services": [
                {
                    "service": weighted.service,
                    "weight": weighted.weight,
                    **self._service(request, route, weighted.service, tenant),
                }
                for weighted in route.services
            ],
        }

    def _service(
        self,
        request: caller_request.CallerRequest,
        route: host_route.HostRoute,
        service: str,
        tenant: str,
    ) -> Facts:
        cost = self._estimates.peek(request, route, service, tenant)
        has_estimate = cost is not None and cost.work_ms > 0
        return {
            "cost_class": cost.label if has_estimate else None,
            "cost_ms": round(cost.work_ms, 1) if has_estimate else None,
            "is_placed_by_cost": cost is not None and cost.is_used,
            "versions": [
                {
                    "version": version,
                    "state": self._state(service, version),
                    "candidates": [
                        _facts(each)
                        for each in self._placement.assess(
                            members,
                            route=route,
                            left_ms=request.deadline_ms or route.timeout_ms,
                            tenant=tenant,
                            cost=cost,
                        )
                    ],
                }
                for version, members in self._versions(service)
            ],
        }

    def _versions(
        self, service: str
    ) -> list[tuple[str, tuple[member_record.MemberRecord, ...]]]:
        return sorted(self._directory.by_version(service).items())

    def _state(self, service: str, version: str) -> str:
        """Returns why a version gets all calls, a part of them, or none."""
        if self._rollouts.is_withdrawn(service, version):
            return "withdrawn"
        order = self._rollouts.active_order(service)
        if order is None:
            return "in-use"
        phase = str(self._rollouts.phase(order))
        return f"new-in-{phase}" if order.version == version else "old"


def _facts(found: assessment.Assessment) -> Facts:
    member = found.member
    return {
        "node": member.node_id,
        "target": member.target_id,
        "data_centre": member.data_centre,
        "distance": found.distance.value,
        "verdict": str(found.verdict),
        "cost": round(found.cost, 4),
        "answer_ms": round(found.answer_ms, 1),
        "by": "estimate" if found.is_estimated else "count",
        "reported_wait_ms": round(found.wait_ms, 1),
        "calls": round(found.calls, 1),
        "slots": member.slots,
        "backlog_ms": round(found.backlog_ms),
        "slowdown": round(found.slowdown, 2),
        "slowness": round(found.slowness, 2),
        "failure_permille": found.failure_permille,
    }
