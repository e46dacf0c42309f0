"""What a node knows of the evacuation of one data centre."""

import typing


class EvacuationRecord(typing.NamedTuple):
    """What a node knows of the evacuation of one data centre.

    The evacuation is in force while `written` is above `ended`. Records of one
    data centre merge by the maximum of each revision.

    Attributes:
        data_centre: The data centre.
        written: Revision of the newest known row that asks for it.
        ended: Revision at which such a row was deleted; 0 if it was not.
    """

    data_centre: str
    written: int
    ended: int = 0
