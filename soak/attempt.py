"""One request of a caller and its result."""

import dataclasses


@dataclasses.dataclass
class Attempt:
    """One request of a caller and its result.

    Attributes:
        attempt_id: Identifier.
        node: Index of the node that received it.
        life: Number of the start of the node's process that received it.
        is_posting: True if it must run at most once.
        sent_s: Time at which it was sent.
        ended_s: Time at which it was answered or failed.
        status: HTTP status of the answer; 0 without one.
        is_own: True if the answer is complete and belongs to this request.
        stamp: Stamp of the target that answered; empty for none.
        failure: Error that took the place of an answer, or the reason of a
            refusal; empty for none.
    """

    attempt_id: str
    node: int
    life: int
    is_posting: bool
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    is_own: bool = False
    stamp: str = ""
    failure: str = ""
