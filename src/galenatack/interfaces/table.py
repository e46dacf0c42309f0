"""The platform's transactional table."""

import typing

from galenatack.model import row
from galenatack.model import transaction


class Table(typing.Protocol):
    """Rows with revisions; transactions are conditional and atomic."""

    async def get(self, key: str) -> row.Row | None:
        """Reads one row.

        Raises:
            exceptions.PlatformUnavailableError: The table refused.
        """

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> tuple[row.Row, ...]:
        """Reads rows in key order.

        Args:
            prefix: Prefix of the row keys.
            after: Only keys after this one.
            limit: Most rows to return.

        Raises:
            exceptions.PlatformUnavailableError: The table refused.
        """

    async def commit(self, change: transaction.Transaction) -> int:
        """Runs a transaction and returns the revision of its writes.

        Raises:
            exceptions.TransactionConflictError: A check failed.
            exceptions.PlatformUnavailableError: The table refused.
            exceptions.OutcomeUnknownError: The answer was lost.
        """
