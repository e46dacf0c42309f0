"""The proximity of two nodes."""

import enum

from galenatack.model import member_record


class Proximity(enum.Enum):
    """Proximity of another node, by data centre and region."""

    OWN_DATA_CENTRE = "own-data-centre"
    OWN_REGION = "own-region"
    OTHER_REGION = "other-region"


def between(
    one: member_record.MemberRecord, other: member_record.MemberRecord
) -> Proximity:
    """Returns the proximity of the nodes of two records."""
    if one.data_centre == other.data_centre:
        return Proximity.OWN_DATA_CENTRE
    if one.region == other.region:
        return Proximity.OWN_REGION
    return Proximity.OTHER_REGION
