"""Tells neighbours which seq the sender holds."""

import typing


class Held(typing.NamedTuple):
    """Tells neighbours which seq the sender holds.

    Attributes:
        node_id: Node that holds it.
        held_seq: Highest held seq.
    """

    node_id: str
    held_seq: int
