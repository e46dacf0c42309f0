"""Interface of the platform's transactional table."""

import typing

from galenatack.model import row
from galenatack.model import transaction


class Table(typing.Protocol):
    """Rows with revisions; transactions are conditional and atomic."""

    async def get(self, key: str) -> row.Row | None:
        """Reads one row; None if it does not exist.

        Raises:
            exceptions.PlatformUnavailableError: The row could not be read.
        """

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> tuple[row.Row, ...]:
        """Reads rows in key order.

        Args:
            prefix: Prefix of the row keys.
            after: Only rows with keys after this one are returned.
            limit: Maximum number of rows to return.

        Raises:
            exceptions.PlatformUnavailableError: The rows could not be read.
        """

    async def commit(self, change: transaction.Transaction) -> int:
        """Runs a transaction and returns the revision of its writes.

        Raises:
            exceptions.TransactionConflictError: A check failed.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The response was lost; the
                transaction may have been committed.
        """
