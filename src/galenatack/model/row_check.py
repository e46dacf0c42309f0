"""A condition of a transaction."""

import typing


class RowCheck(typing.NamedTuple):
    """A condition of a transaction.

    Attributes:
        key: Row key.
        revision: Revision that the row must have; 0 if it must not exist.
    """

    key: str
    revision: int
