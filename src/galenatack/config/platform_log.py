"""Reads changes from the platform's log."""

import typing

from galenatack import exceptions
from galenatack.config import entry_rows
from galenatack.config import log_state
from galenatack.config import row_keys
from galenatack.interfaces import object_store
from galenatack.interfaces import table
from galenatack.messages import delta
from galenatack.model import row

PAGE_ROWS = 500
# After more missed changes than this, there are fewer entry rows than log rows
# to read.
MAX_LOG_ROWS = 2_000


class PlatformLog:
    """Reads the changes that a node does not hold.

    Args:
        table: The table service.
        objects: Store of the profile bodies.
        state: Held entries of the node; bodies that it holds are not read
            again.
    """

    def __init__(
        self,
        *,
        table: table.Table,
        objects: object_store.ObjectStore,
        state: log_state.LogState,
    ):
        self._table = table
        self._objects = objects
        self._state = state

    async def head_seq(self) -> int:
        """Reads the seq of the last change; 0 if there is none.

        Raises:
            exceptions.PlatformError: The table could not be read.
        """
        stored = await self._table.get(row_keys.HEAD)
        return _fields(stored)["seq"] if stored else 0

    async def read_missing(self) -> delta.Delta | None:
        """Reads the changes after the held seq; None if there are none.

        Raises:
            exceptions.PlatformError: The changes could not be read.
        """
        own_seq = self._state.held_seq
        head_seq = await self.head_seq()
        if head_seq <= own_seq:
            return None
        if own_seq and head_seq - own_seq <= MAX_LOG_ROWS:
            rows = await self._log_after(own_seq)
            if rows and _fields(rows[0])["seq"] == own_seq + 1:
                return await self._delta(own_seq, rows)
        return await self._full_state(head_seq)

    async def _full_state(self, head_seq: int) -> delta.Delta:
        """Reads the entry rows, and the log rows after `head_seq`.

        The scan of the entry rows is not atomic. The log rows written since
        the head was read complete the state up to the last of them.
        """
        rows = list(await self._scan_all(row_keys.ENTRY_PREFIX))
        rows.extend(await self._log_after(head_seq))
        return await self._delta(0, tuple(rows), min_to_seq=head_seq)

    async def _delta(
        self, from_seq: int, rows: tuple[row.Row, ...], *, min_to_seq: int = 0
    ) -> delta.Delta:
        latest: dict[str, row.Row] = {}
        for stored in sorted(rows, key=lambda stored: _fields(stored)["seq"]):
            latest[_fields(stored)["key"]] = stored
        loaded = await entry_rows.load_all(
            latest.values(), self._objects, known=self._state.held_entry
        )
        entries = sorted(loaded, key=lambda item: item.seq)
        to_seq = max([min_to_seq, *(item.seq for item in entries)])
        return delta.Delta(from_seq, to_seq, tuple(entries), None)

    async def _log_after(self, seq: int) -> tuple[row.Row, ...]:
        rows = await self._scan_all(
            row_keys.LOG_PREFIX, after=row_keys.log(seq)
        )
        seqs = [_fields(stored)["seq"] for stored in rows]
        if seqs and seqs != list(range(seqs[0], seqs[-1] + 1)):
            raise exceptions.ObjectCorruptError("the log has a gap")
        return rows

    async def _scan_all(
        self, prefix: str, *, after: str = ""
    ) -> tuple[row.Row, ...]:
        result: list[row.Row] = []
        while True:
            page = await self._table.scan(prefix, after=after, limit=PAGE_ROWS)
            result.extend(page)
            if len(page) < PAGE_ROWS:
                return tuple(result)
            after = page[-1].key


def _fields(stored: row.Row) -> dict[str, typing.Any]:
    return typing.cast(dict[str, typing.Any], stored.value)
