"""A target as the outbound side sees it."""

import typing


class TargetMember(typing.NamedTuple):
    """A target as the outbound side sees it.

    Attributes:
        node_id: Node beside the target.
        incarnation: Incarnation of that node.
        slots: Calls that the target runs at once.
        tier: 0 own data centre, 1 own region, 2 another region.
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
