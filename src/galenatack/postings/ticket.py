"""A verified ticket."""

import typing


class Ticket(typing.NamedTuple):
    """A verified ticket.

    Attributes:
        node_id: The only node that may run the posting.
        incarnation: The only incarnation of that node that may run it.
        expires_ms: Expiry, wall clock in milliseconds.
        nonce: Makes the ticket unique.
    """

    node_id: str
    incarnation: int
    expires_ms: int
    nonce: str
