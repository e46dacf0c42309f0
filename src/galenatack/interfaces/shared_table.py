"""Interface of the tables that all nodes share."""

import typing

from galenatack.model import row_change
from galenatack.model import table_page


class SharedTable(typing.Protocol):
    """Rows with conditional writes and watches.

    All revisions come from one counter.
    """

    async def read(self, table: str) -> table_page.TablePage:
        """Reads all rows of a table.

        Raises:
            exceptions.PlatformUnavailableError: There was no valid response.
        """

    async def watch(
        self, table: str, *, after: int, wait_s: float
    ) -> table_page.TablePage:
        """Waits up to `wait_s` for rows that changed after a revision.

        Raises:
            exceptions.HistoryLostError: The store no longer has the changes
                after this revision.
            exceptions.PlatformAnswerLostError: The response was not received
                completely; it may be too long.
            exceptions.PlatformUnavailableError: There was no valid response.
        """

    async def commit(self, change: row_change.RowChange) -> int:
        """Writes rows atomically and returns their revision.

        Raises:
            exceptions.TransactionConflictError: A condition failed.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The rows may have been written, or
                may still be written later.
        """
