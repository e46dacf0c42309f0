"""Identifier of a time line event."""

import typing


class EventId(typing.NamedTuple):
    """Identifier of a time line event.

    Attributes:
        node_id: Process that recorded the event.
        incarnation: Incarnation of that process.
        number: Sequence number of the event within that process.
    """

    node_id: str
    incarnation: int
    number: int
