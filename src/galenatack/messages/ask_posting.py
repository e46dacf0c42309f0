"""Request for the status of a posting."""

import typing


class AskPosting(typing.NamedTuple):
    """Requests the status of a posting from the owner of its claim.

    Answered by `PostingStatus`.

    Attributes:
        service: Name of the service.
        idempotency_key: The caller's idempotency key.
        attempt: Attempt that the claim row names, to which the reply refers.
    """

    service: str
    idempotency_key: str
    attempt: str = ""
