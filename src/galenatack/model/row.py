"""A row of the table service."""

import typing


class Row(typing.NamedTuple):
    """A row of the table service.

    Attributes:
        key: Row key.
        value: JSON value.
        revision: Revision of the last write of this row.
    """

    key: str
    value: object
    revision: int
