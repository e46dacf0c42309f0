"""Request for newer mirrored rows; answered by `Rows`."""

import typing


class PullRows(typing.NamedTuple):
    """Requests newer mirrored rows; answered by `Rows`.

    Attributes:
        table_revisions: Newest revision that the sender holds of each
            mirrored table, in the order of their names.
    """

    table_revisions: tuple[int, ...]
