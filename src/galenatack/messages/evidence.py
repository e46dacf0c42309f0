"""Cumulative call outcomes at one inbound gate during a move."""

import typing

from galenatack.model import route_evidence


class Evidence(typing.NamedTuple):
    """Cumulative call outcomes at one inbound gate during a move.

    Attributes:
        move_id: Identifier of the move.
        node_id: Node of the gate.
        incarnation: Incarnation of that node; counts restart with it.
        number: Sequence number of the report; increases with each.
        data_centre: Data centre of the gate.
        routes: Outcomes of each route.
    """

    move_id: str
    node_id: str
    incarnation: int
    number: int
    data_centre: str
    routes: tuple[route_evidence.RouteEvidence, ...]
