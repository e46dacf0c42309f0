"""Checks and writes that take effect together or not at all."""

import typing

from galenatack.model import row_check


class Transaction(typing.NamedTuple):
    """Checks and writes that take effect together or not at all.

    Attributes:
        checks: Conditions.
        puts: Rows to write, as (key, JSON value).
        deletes: Row keys to delete.
    """

    checks: tuple[row_check.RowCheck, ...] = ()
    puts: tuple[tuple[str, object], ...] = ()
    deletes: tuple[str, ...] = ()
