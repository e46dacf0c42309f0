"""An atomic, conditional transaction of the table service."""

import typing

from galenatack.model import row_check


class Transaction(typing.NamedTuple):
    """Writes and deletions that are applied atomically if all checks hold.

    Attributes:
        checks: Conditions of the transaction.
        puts: Rows to write, as (key, JSON value).
        deletes: Row keys to delete.
    """

    checks: tuple[row_check.RowCheck, ...] = ()
    puts: tuple[tuple[str, object], ...] = ()
    deletes: tuple[str, ...] = ()
