"""State of a posting at its gate."""

import enum


class PostingState(enum.StrEnum):
    """State of a posting; also `state` of the `PostingStatus` message."""

    NOT_DISPATCHED = "not-dispatched"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
