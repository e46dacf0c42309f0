"""A part of an announced body."""

import typing


class BodyPart(typing.NamedTuple):
    """A part of an announced body.

    Attributes:
        call_id: Identifier of the call.
        offset: Number of bytes before the part.
        data: The part; empty if the sender has given the call up.
    """

    call_id: str
    offset: int
    data: bytes
