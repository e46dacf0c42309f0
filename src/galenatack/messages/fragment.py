"""A part of a large message."""

import typing


class Fragment(typing.NamedTuple):
    """A part of the frame of a large message.

    Attributes:
        message_id: Identifies the message on its link.
        data: The next bytes of the frame.
        is_last: True for the last part.
    """

    message_id: int
    data: bytes
    is_last: bool
