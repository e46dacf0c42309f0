"""Asks for a part of an announced body; answered by `BodyPart`."""

import typing


class FetchBody(typing.NamedTuple):
    """Asks for a part of an announced body; answered by `BodyPart`.

    Attributes:
        call_id: Identifier of the call.
        offset: Number of bytes before the part.
        size_bytes: Size of the part.
    """

    call_id: str
    offset: int
    size_bytes: int
