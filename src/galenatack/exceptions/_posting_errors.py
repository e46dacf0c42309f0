"""Failures of postings."""

from galenatack.exceptions import _call_errors


class PostingError(_call_errors.CallError):
    """A posting was refused before any dispatch.

    Attributes:
        status: HTTP status for the caller.
    """

    code = "posting"
    status = 400


class PostingKeyMissingError(PostingError):
    """A posting carries no Idempotency-Key, or one that is too long."""

    code = "posting-key-missing"


class TicketMalformedError(PostingError):
    """A key has the form of a ticket but no signature of this deployment."""

    code = "ticket-malformed"


class PostingKeyReusedError(PostingError):
    """The key belongs to a request with another method, path or body."""

    code = "posting-key-reused"
    status = 422


class TicketGoneError(_call_errors.CallError):
    """The incarnation that issued the ticket no longer exists."""

    code = "ticket-other-incarnation"
    # A retry is useless: the posting never runs and no answer is recorded.
    retry_after_ms = 0
