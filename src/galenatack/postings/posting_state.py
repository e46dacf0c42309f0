"""State of a posting at its gate."""

import enum


class PostingState(enum.StrEnum):
    """Also the `state` of `messages.posting_status.PostingStatus`."""

    NOT_DISPATCHED = "not-dispatched"
    DISPATCHED = "dispatched"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
