"""Asks the owner of a claim what became of a posting."""

import typing


class AskPosting(typing.NamedTuple):
    """Asks the owner of a claim what became of a posting.

    Attributes:
        service: Service.
        idempotency_key: The caller's key.
        attempt: Attempt that the claim row names; the reply is about it.
    """

    service: str
    idempotency_key: str
    attempt: str = ""
