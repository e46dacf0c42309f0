"""A target as seen by the outbound side."""

import typing


class TargetMember(typing.NamedTuple):
    """A target as seen by the outbound side.

    Attributes:
        node_id: Node of the target.
        incarnation: Incarnation of that node.
        slots: Maximum number of concurrent calls at the target.
        tier: 0 for the own data centre, 1 for the own region, 2 for others.
        data_centre: Data centre of the target.
    """

    node_id: str
    incarnation: int
    slots: int
    tier: int
    data_centre: str = ""


OWN_DATA_CENTRE = 0
OWN_REGION = 1
OTHER_REGION = 2
