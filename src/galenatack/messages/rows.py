"""Mirrored rows of shared tables."""

import typing

from galenatack.model import table_row


class Rows(typing.NamedTuple):
    """Mirrored rows of shared tables.

    Attributes:
        rows: The rows; a receiver keeps the newest of each key.
    """

    rows: tuple[table_row.TableRow, ...]
