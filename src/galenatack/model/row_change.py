"""A conditional write of rows."""

import typing


class RowChange(typing.NamedTuple):
    """Rows that are written or deleted atomically, under conditions.

    Attributes:
        expected: Conditions as (table, key, revision); revision 0 means that
            the row must not exist.
        writes: Rows to write, as (table, key, value).
        deletes: Rows to delete, as (table, key).
    """

    expected: tuple[tuple[str, str, int], ...] = ()
    writes: tuple[tuple[str, str, bytes], ...] = ()
    deletes: tuple[tuple[str, str], ...] = ()
