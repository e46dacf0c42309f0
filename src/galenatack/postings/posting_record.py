"""State of one posting at a gate."""

from galenatack.model import call_result
from galenatack.postings import posting_state
from galenatack.postings import shared_result

# Bytes of a record without the key and the answer. 10,000 records of tickets
# took 676 bytes each, measured with tracemalloc.
FIXED_BYTES = 700


class PostingRecord:
    """State of one posting at a gate.

    Attributes:
        service: Service of the posting.
        key: The caller's key.
        attempt: Identifier of the attempt, unique in the deployment.
        fingerprint: Identifies service, method, path and body.
        ticket_expires_ms: Expiry of the ticket; 0 for a plain key.
        state: State of the posting.
        is_claimed: True when a ticket or claim permits the attempt to run.
        has_row: True when the attempt's claim row may be in the table.
        is_closed: True when the attempt must no longer be dispatched.
        dispatches: Number of dispatches.
        is_start_denied: True when the dispatch ended with proof that the
            target did not start the posting.
        result: The target's answer, if it was stored.
        shared_result: Result that repeats wait for; None once the attempt has
            ended.
        answer_bytes: Size of the stored result.
    """

    __slots__ = (
        "service",
        "key",
        "attempt",
        "fingerprint",
        "ticket_expires_ms",
        "state",
        "is_claimed",
        "has_row",
        "is_closed",
        "dispatches",
        "is_start_denied",
        "result",
        "shared_result",
        "answer_bytes",
    )

    def __init__(
        self,
        *,
        service: str,
        key: str,
        attempt: str,
        fingerprint: str,
        ticket_expires_ms: int = 0,
    ):
        self.service = service
        self.key = key
        self.attempt = attempt
        self.fingerprint = fingerprint
        self.ticket_expires_ms = ticket_expires_ms
        self.state = posting_state.PostingState.NOT_DISPATCHED
        self.is_claimed = False
        self.has_row = False
        self.is_closed = False
        self.dispatches = 0
        self.result: call_result.CallResult | None = None
        self.is_start_denied = False
        self.shared_result: shared_result.SharedResult | None = (
            shared_result.SharedResult()
        )
        self.answer_bytes = 0

    def close(self) -> bool:
        """Prevents a later dispatch of this attempt.

        Returns:
            True if the attempt was not dispatched and never will be.
        """
        if self.state != posting_state.PostingState.NOT_DISPATCHED:
            return False
        self.is_closed = True
        return True

    def fixed_bytes(self) -> int:
        """Returns the memory of the record without its result, in bytes."""
        return FIXED_BYTES + len(self.service) + len(self.key)
