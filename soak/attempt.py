"""One request of a caller and what became of it."""

import dataclasses


@dataclasses.dataclass
class Attempt:
    """One request of a caller and what became of it.

    Attributes:
        attempt_id: Identifier.
        node: Index of the node that got it.
        life: Which start of the node's process got it.
        is_posting: True when it may run once at most.
        sent_s: When it was sent.
        ended_s: When its end was known.
        status: Status of the answer; 0 without one.
        is_own: True when the answer is whole and belongs to this request.
        stamp: The target that made the answer; empty for none.
        failure: Why there is no answer.
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
