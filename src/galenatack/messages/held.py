"""Report of the highest seq that a node holds."""

import typing


class Held(typing.NamedTuple):
    """Reports the highest seq that a node holds.

    Attributes:
        node_id: Node that holds the seq.
        held_seq: Highest held seq.
    """

    node_id: str
    held_seq: int
