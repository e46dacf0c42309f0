"""Tables that all nodes share."""

import typing

from galenatack.model import row_change
from galenatack.model import table_page


class SharedTable(typing.Protocol):
    """Rows with revisions from one counter, conditional and observable."""

    async def read(self, table: str) -> table_page.TablePage:
        """Reads all rows of a table.

        Raises:
            exceptions.PlatformUnavailableError: There is no usable answer.
        """

    async def watch(
        self, table: str, *, after: int, wait_s: float
    ) -> table_page.TablePage:
        """Waits for rows that changed after a revision.

        Raises:
            exceptions.HistoryLostError: The changes are no longer known.
            exceptions.PlatformUnavailableError: There is no usable answer.
        """

    async def commit(self, change: row_change.RowChange) -> int:
        """Writes rows together and returns their revision.

        Raises:
            exceptions.TransactionConflictError: A condition failed.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: It may have been written, or be
                written later.
        """
