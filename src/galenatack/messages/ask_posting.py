"""Asks the owner of a claim what became of a posting."""

import typing


class AskPosting(typing.NamedTuple):
    """Asks the owner of a claim what became of a posting.

    Attributes:
        service: Service.
        idempotency_key: The caller's key.
    """

    service: str
    idempotency_key: str
