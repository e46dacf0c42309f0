"""Counts the calls to the shared tables."""

import collections
import collections.abc
import typing

from galenatack import exceptions
from galenatack.interfaces import shared_table
from galenatack.model import row_change
from galenatack.model import table_page

T = typing.TypeVar("T")

OK = "ok"


class InstrumentedTable:
    """Wraps a `interfaces.shared_table.SharedTable` and counts its calls.

    Args:
        table: The wrapped tables.

    Attributes:
        calls: Number of calls by kind and result; a result is `ok` or the
            code of the error.
    """

    def __init__(self, *, table: shared_table.SharedTable):
        self._table = table
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()

    async def read(self, table: str) -> table_page.TablePage:
        """Reads all rows of a table."""
        return await self._count("read", self._table.read(table))

    async def watch(
        self, table: str, *, after: int, wait_s: float
    ) -> table_page.TablePage:
        """Waits for rows that changed after a revision."""
        return await self._count(
            "watch", self._table.watch(table, after=after, wait_s=wait_s)
        )

    async def commit(self, change: row_change.RowChange) -> int:
        """Writes rows together and returns their revision."""
        return await self._count("commit", self._table.commit(change))

    async def _count(self, kind: str, call: collections.abc.Awaitable[T]) -> T:
        try:
            answer = await call
        except exceptions.PlatformError as error:
            self.calls[kind, error.code] += 1
            raise
        self.calls[kind, OK] += 1
        return answer
