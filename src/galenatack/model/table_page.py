"""Rows of a shared table as of one revision."""

import typing

from galenatack.model import table_row


class TablePage(typing.NamedTuple):
    """Rows of a shared table as of one revision.

    Attributes:
        rows: The rows.
        revision: Newest revision of the store at the time of the response.
    """

    rows: tuple[table_row.TableRow, ...]
    revision: int
