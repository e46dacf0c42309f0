"""Status of a member."""

import enum


class MemberStatus(enum.StrEnum):
    """Statuses by precedence: the later one wins within an incarnation."""

    JOINING = "joining"
    SERVING = "serving"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"
