"""Cumulative call outcomes at one inbound gate during a rollout."""

import typing

from galenatack.model import route_evidence


class TrialEvidence(typing.NamedTuple):
    """Cumulative call outcomes at one inbound gate during a rollout.

    Attributes:
        service: Service that is rolled out.
        order_revision: Revision of the rollout order.
        node_id: Node of the gate.
        boot_ms: Start time of that node; its counts restart with it.
        routes: Outcomes of each route.
    """

    service: str
    order_revision: int
    node_id: str
    boot_ms: int
    routes: tuple[route_evidence.RouteEvidence, ...]
