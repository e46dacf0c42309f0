"""Asks for mirrored rows that are newer; answered by `Rows`."""

import typing


class PullRows(typing.NamedTuple):
    """Asks for mirrored rows that are newer; answered by `Rows`.

    Attributes:
        table_revisions: Newest revision that the asker holds of each
            mirrored table, in the order of their names.
    """

    table_revisions: tuple[int, ...]
