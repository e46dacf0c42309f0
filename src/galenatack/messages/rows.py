"""Mirrored rows of shared tables."""

import typing

from galenatack.model import table_row


class Rows(typing.NamedTuple):
    """Mirrored rows of shared tables.

    Attributes:
        rows: The rows; a receiver keeps the newest of each key.
        is_deflated: True when the values are compressed.
    """

    rows: tuple[table_row.TableRow, ...]
    is_deflated: bool = False
