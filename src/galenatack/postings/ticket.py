"""A verified ticket."""

import typing


class Ticket(typing.NamedTuple):
    """A verified ticket.

    Attributes:
        node_id: The only node that runs the posting.
        incarnation: The only incarnation of it that does.
        expires_ms: Wall clock in milliseconds after which it never runs.
        nonce: Makes the ticket unique.
    """

    node_id: str
    incarnation: int
    expires_ms: int
    nonce: str
