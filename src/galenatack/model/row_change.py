"""A conditional write of rows."""

import typing


class RowChange(typing.NamedTuple):
    """Rows that are written or deleted together, under conditions.

    Attributes:
        expected: (table, key, revision) that must hold; revision 0 means
            that there is no such row.
        writes: (table, key, value).
        deletes: (table, key).
    """

    expected: tuple[tuple[str, str, int], ...] = ()
    writes: tuple[tuple[str, str, bytes], ...] = ()
    deletes: tuple[tuple[str, str], ...] = ()
