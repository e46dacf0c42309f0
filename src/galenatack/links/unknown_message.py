"""A message of a type that this release does not know."""

import typing


class UnknownMessage(typing.NamedTuple):
    """A message of a newer release; its content is not read.

    Attributes:
        tag: Tag of the message type on the wire.
    """

    tag: int
