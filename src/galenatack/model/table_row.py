"""A row of a shared table, with its value as bytes."""

import typing


class TableRow(typing.NamedTuple):
    """A row of a shared table, with its value as bytes.

    Attributes:
        table: Name of the table.
        key: Key of the row.
        value: Value; empty for a deleted row.
        revision: Revision of the transaction that wrote or deleted it.
        is_deleted: True for the tombstone of a deleted row.
    """

    table: str
    key: str
    value: bytes
    revision: int
    is_deleted: bool = False
