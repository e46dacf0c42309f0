"""How far two nodes are apart."""

import enum

from galenatack.model import member_record


class Proximity(enum.Enum):
    """How far two nodes are apart."""

    OWN_DATA_CENTRE = "own-data-centre"
    OWN_REGION = "own-region"
    OTHER_REGION = "other-region"


def between(
    one: member_record.MemberRecord, other: member_record.MemberRecord
) -> Proximity:
    """Returns how far the nodes of two records are apart."""
    if one.data_centre == other.data_centre:
        return Proximity.OWN_DATA_CENTRE
    if one.region == other.region:
        return Proximity.OWN_REGION
    return Proximity.OTHER_REGION
