"""A routed call, for all of its attempts."""

import typing

from galenatack.model import call_request
from galenatack.model import retry_policy
from galenatack.model import route as route_module
from galenatack.routing import service_table


class TicketBinding(typing.NamedTuple):
    """The node on which a posting with a ticket key runs.

    Attributes:
        node_id: The only node that may run it.
        incarnation: Incarnation of that node.
    """

    node_id: str
    incarnation: int


class CallPlan(typing.NamedTuple):
    """A routed call, for all of its attempts.

    Attributes:
        table: Routing table of the service, the same for all attempts.
        route: The matched route.
        policy: Retry policy of the route.
        request: The call; each attempt gets its own call id and deadline.
        deadline_s: Monotonic time by which the caller must have an answer.
        ticket: Node of a posting with a ticket key, or None.
    """

    table: service_table.ServiceTable
    route: route_module.Route
    policy: retry_policy.RetryPolicy
    request: call_request.CallRequest
    deadline_s: float
    ticket: TicketBinding | None
