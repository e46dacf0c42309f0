"""Mirrored rows of shared tables."""

import typing

from galenatack.model import table_row


class Rows(typing.NamedTuple):
    """Mirrored rows of shared tables.

    Attributes:
        rows: The rows; the receiver keeps the newest row of each key.
        is_deflated: True if the values are compressed with zlib.
    """

    rows: tuple[table_row.TableRow, ...]
    is_deflated: bool = False
