"""A body that the node of a caller has announced."""

import typing


class AnnouncedBody(typing.NamedTuple):
    """A body that the node of a caller has announced.

    Attributes:
        node_id: Node that holds the body.
        size_bytes: Size of the body.
    """

    node_id: str
    size_bytes: int
