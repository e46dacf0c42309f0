"""One node's access to the store stand-in, without a network."""

import collections

import anyio

from galenatack import exceptions
from galenatack.model import row_change
from galenatack.model import store_revision
from galenatack.model import table_page
from galenatack.model import table_row
from standins.store import faults as faults_module
from standins.store import row_store

LOST_S = 2.0
"""Time after which a node gives up waiting for an answer."""


class SharedStore:
    """The store shared by several nodes.

    Attributes:
        rows: The stored rows.
        faults: Active faults.
        calls: Number of calls by node and kind.
    """

    def __init__(self):
        self.rows = row_store.RowStore()
        self.faults = faults_module.Faults()
        self.calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self._changed = anyio.Event()

    @property
    def readable(self) -> row_store.RowStore:
        """The rows that reads of whole tables return."""
        return self.faults.lagging_rows or self.rows

    def operator_writes(self, table: str, key: str, value: bytes) -> int:
        """Writes a row in the role of the operator."""
        return self.commit([], [(table, "", key, value)], [])

    def commit(self, expected, writes, deletes) -> int:
        """Applies a transaction and wakes all watchers."""
        version = self.rows.commit(expected, writes, deletes)
        self._wake()
        return version

    def restore(self, former: row_store.RowStore) -> None:
        """Restores the rows from a copy and wakes all watchers."""
        self.rows.restore(former)
        self._wake()

    def _wake(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()

    async def wait_for_change(self) -> None:
        """Returns after the next transaction."""
        await self._changed.wait()


class NodeTable:
    """Implements `interfaces.shared_table.SharedTable` for one node.

    Args:
        store: The shared store.
        node_id: Id of the node, for faults that affect single nodes.
    """

    def __init__(self, *, store: SharedStore, node_id: str):
        self._store = store
        self._node_id = node_id

    async def read(self, table: str) -> table_page.TablePage:
        """Reads all rows of a table."""
        await self._enter("read")
        rows, _ = self._store.readable.range(table, "", "", 1_000_000)
        return self._page(rows)

    async def watch(
        self, table: str, *, after: int, wait_s: float
    ) -> table_page.TablePage:
        """Returns rows that changed after a revision; waits for the first."""
        await self._enter("watch")
        give_up_s = anyio.current_time() + wait_s + LOST_S
        era = store_revision.era(after)
        number = store_revision.number(after)
        with anyio.move_on_after(wait_s):
            while not self._changes(table, number):
                await self._store.wait_for_change()
        await self._check_available(give_up_s)
        if after and era != self._store.rows.era:
            raise exceptions.HistoryLostError("the store was restored")
        return self._page(self._changes(table, number))

    async def commit(self, change: row_change.RowChange) -> int:
        """Commits rows atomically and returns their revision."""
        await self._enter("commit")
        faults = self._store.faults
        if not faults.lose_answers:
            return self._apply(change)
        faults.lose_answers -= 1
        if faults.late_s:
            await anyio.sleep(faults.late_s)
        self._apply(change)
        await anyio.sleep(LOST_S)
        raise exceptions.OutcomeUnknownError("answer lost")

    def _apply(self, change: row_change.RowChange) -> int:
        era = self._store.rows.era
        for _, key, revision in change.expected:
            if revision and store_revision.era(revision) != era:
                raise exceptions.TransactionConflictError(
                    "the store was restored", keys=(key,)
                )
        try:
            number = self._store.commit(
                [
                    (table, "", key, store_revision.number(revision))
                    for table, key, revision in change.expected
                ],
                [(t, "", k, v) for t, k, v in change.writes],
                [(t, "", k) for t, k in change.deletes],
            )
            return store_revision.make(era, number)
        except row_store.ConflictError as error:
            keys = tuple(key for _, _, key in error.rows)
            raise exceptions.TransactionConflictError(
                str(error), keys=keys
            ) from error

    def _changes(self, table: str, after: int) -> list[row_store.StoredRow]:
        try:
            return self._store.rows.changes(table, after)
        except row_store.HistoryGoneError as error:
            raise exceptions.HistoryLostError(str(error)) from error

    async def _enter(self, kind: str) -> None:
        self._store.calls[self._node_id, kind] += 1
        if self._store.faults.slow_s:
            await anyio.sleep(self._store.faults.slow_s)
        await self._check_available()

    async def _check_available(self, give_up_s: float | None = None) -> None:
        faults = self._store.faults
        if self._node_id in faults.silent_nodes:
            # A change brings no answer either, so the node waits to the end.
            await anyio.sleep_until(give_up_s or anyio.current_time() + LOST_S)
            raise exceptions.PlatformAnswerLostError("no answer")
        if faults.is_down or self._node_id in faults.refused_nodes:
            raise exceptions.PlatformUnavailableError("503")

    def _page(self, rows: list[row_store.StoredRow]) -> table_page.TablePage:
        era = self._store.rows.era
        return table_page.TablePage(
            tuple(
                table_row.TableRow(
                    row.table,
                    row.key,
                    row.value,
                    store_revision.make(era, row.version),
                    row.is_deleted,
                )
                for row in rows
            ),
            store_revision.make(era, self._store.rows.version),
        )
