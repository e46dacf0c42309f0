"""An in-memory table service with injectable faults."""

import anyio.lowlevel

from galenatack import exceptions
from galenatack.model import row
from galenatack.model import transaction


class MemoryTable:
    """Implements `interfaces.table.Table`.

    Attributes:
        down: Whether every operation fails as unavailable.
        lose_answers: Number of upcoming commits that take effect but whose
            answer is lost.
        reads: Number of reads so far.
        writes: Number of rows written so far.
    """

    def __init__(self):
        self.down = False
        self.lose_answers = 0
        self.reads = 0
        self.writes = 0
        self._rows: dict[str, row.Row] = {}
        self._revision = 0

    async def get(self, key: str) -> row.Row | None:
        """Reads one row."""
        await self._enter()
        self.reads += 1
        return self._rows.get(key)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> tuple[row.Row, ...]:
        """Reads rows in key order."""
        await self._enter()
        self.reads += 1
        keys = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return tuple(self._rows[key] for key in keys[:limit])

    async def commit(self, change: transaction.Transaction) -> int:
        """Commits a transaction."""
        await self._enter()
        self._check(change)
        self._revision += 1
        for key, value in change.puts:
            self._rows[key] = row.Row(key, value, self._revision)
            self.writes += 1
        for key in change.deletes:
            self._rows.pop(key, None)
            self.writes += 1
        if self.lose_answers:
            self.lose_answers -= 1
            raise exceptions.OutcomeUnknownError("answer lost")
        return self._revision

    def _check(self, change: transaction.Transaction) -> None:
        failed = tuple(
            check.key
            for check in change.checks
            if self._revision_of(check.key) != check.revision
        )
        if failed:
            raise exceptions.TransactionConflictError(
                f"revision differs for {', '.join(failed)}", keys=failed
            )

    def _revision_of(self, key: str) -> int:
        current = self._rows.get(key)
        return current.revision if current else 0

    async def _enter(self) -> None:
        await anyio.lowlevel.checkpoint()
        if self.down:
            raise exceptions.PlatformUnavailableError("table is down")
