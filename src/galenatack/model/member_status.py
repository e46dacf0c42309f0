"""Status of a member."""

import enum


class MemberStatus(enum.StrEnum):
    """Statuses in rising rank: the later one wins within an incarnation."""

    JOINING = "joining"
    SERVING = "serving"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
