"""Parses and routes a caller's call."""

import collections.abc

from galenatack import exceptions
from galenatack.interfaces import clock as clock_module
from galenatack.model import call_request
from galenatack.model import route as route_module
from galenatack.routing import call_parser
from galenatack.routing import call_plan
from galenatack.routing import route_matcher
from galenatack.routing import snapshot_holder

# Returns the node of a ticket key, or None for a plain key.
BindTicket = collections.abc.Callable[[str], call_plan.TicketBinding | None]

_MS_PER_S = 1000
_BODY_TOO_LARGE = 413


class CallPlanner:
    """Parses and routes calls with the snapshot in force.

    Args:
        holder: Holds the snapshot.
        clock: Source of time.
        bind_ticket: Parses ticket keys.
    """

    def __init__(
        self,
        *,
        holder: snapshot_holder.SnapshotHolder,
        clock: clock_module.Clock,
        bind_ticket: BindTicket = lambda key: None,
    ):
        self._holder = holder
        self._clock = clock
        self._bind_ticket = bind_ticket

    def plan(
        self,
        *,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
        body: bytes,
    ) -> call_plan.CallPlan:
        """Returns the plan of a call.

        Raises:
            exceptions.BadCallError: The call is malformed or too large.
            exceptions.NoTargetError: This node has no configuration yet.
            exceptions.NoRouteError: No service or route matches.
            exceptions.PostingError: The key of a posting is missing or
                invalid.
        """
        parsed = call_parser.parse(path=path, headers=headers)
        services = self._holder.current.services
        if not services:
            raise exceptions.NoTargetError("this node has no configuration")
        table = services.get(parsed.service)
        if table is None:
            raise exceptions.NoRouteError(f"no service {parsed.service}")
        if len(body) > table.limits.max_body_bytes:
            raise exceptions.BadCallError(
                "body too large", status=_BODY_TOO_LARGE
            )
        route = route_matcher.match(table, method=method, path=parsed.path)
        request = _request(parsed, route, method, body)
        key = request.idempotency_key
        now_s = self._clock.monotonic_s()
        return call_plan.CallPlan(
            table=table,
            route=route,
            policy=table.retry_policies[route.retry_policy],
            request=request,
            deadline_s=now_s + request.deadline_ms / _MS_PER_S,
            ticket=self._bind_ticket(key) if key else None,
        )


def _request(
    parsed: call_parser.ParsedCall,
    route: route_module.Route,
    method: str,
    body: bytes,
) -> call_request.CallRequest:
    if route.posting:
        call_parser.check_key(parsed.idempotency_key)
    return call_request.CallRequest(
        call_id="",
        service=parsed.service,
        route=route.name,
        method=method,
        path=parsed.path,
        headers=parsed.headers,
        body=body,
        deadline_ms=parsed.deadline_ms or route.timeout_ms,
        posting=route.posting,
        idempotency_key=parsed.idempotency_key if route.posting else "",
    )
