"""Cumulative outcomes at one gate while its service is moved."""

import typing

from galenatack.model import route_evidence


class TrialEvidence(typing.NamedTuple):
    """Cumulative outcomes at one gate while its service is moved.

    Attributes:
        service: Service that is moved.
        order_revision: Revision of the order.
        node_id: Node of the gate.
        boot_ms: Start of that node; its counts restart with it.
        routes: Outcomes for each route.
    """

    service: str
    order_revision: int
    node_id: str
    boot_ms: int
    routes: tuple[route_evidence.RouteEvidence, ...]
