"""Deletes old claim rows to bound the size of the table."""

import collections.abc

from galenatack import exceptions
from galenatack.interfaces import clock
from galenatack.interfaces import event_sink
from galenatack.interfaces import table
from galenatack.model import row
from galenatack.model import row_check
from galenatack.model import transaction
from galenatack.postings import claim

PREFIX = "claim/"
RETENTION_MS = 7 * 24 * 3600 * 1000
PAGE_ROWS = 100
MAX_DELETES = 50
# At 20 plain keys per second, 7 days of claims are 12 million rows. Reading 100
# rows every 2 s scans all of them in 2.8 days.
PAGE_INTERVAL_S = 2.0


class ClaimCleanup:
    """Deletes claim rows older than 7 days, page by page.

    At-most-once execution of a plain key is guaranteed for 7 days. After that
    the same key may run again, so callers must not reuse or repeat it.

    The task may run on several nodes at once, at the cost of extra reads. A row
    is deleted when it is 7 days older than both the holder's wall clock
    and the newest claim seen so far. A holder whose clock is ahead therefore
    deletes no recent claims.
    """

    def __init__(
        self,
        *,
        table: table.Table,
        clock: clock.Clock,
        events: event_sink.EventSink,
        is_holder: collections.abc.Callable[[], bool],
    ):
        self._table = table
        self._clock = clock
        self._events = events
        self._is_holder = is_holder
        self._after = ""
        self._newest_ms = 0

    async def run(self) -> None:
        """Deletes old rows while `is_holder()` is true, until cancelled."""
        while True:
            await self._clock.sleep_s(PAGE_INTERVAL_S)
            if not self._is_holder():
                continue
            try:
                await self.clean_page()
            except exceptions.PlatformError:
                continue

    async def clean_page(self) -> int:
        """Deletes the old rows of the next page.

        Returns:
            The number of deleted rows.

        Raises:
            exceptions.PlatformError: The platform failed; the page is read
                again next time.
        """
        page = await self._table.scan(
            PREFIX, after=self._after, limit=PAGE_ROWS
        )
        made_ms = [
            claim.from_value(claim_row.value).made_ms for claim_row in page
        ]
        self._newest_ms = max(self._newest_ms, *made_ms, 0)
        oldest_kept_ms = self._oldest_kept_ms()
        old = [
            claim_row
            for claim_row, row_made_ms in zip(page, made_ms, strict=True)
            if row_made_ms < oldest_kept_ms
        ]
        for start in range(0, len(old), MAX_DELETES):
            await self._delete(old[start : start + MAX_DELETES])
        self._after = page[-1].key if len(page) == PAGE_ROWS else ""
        if old:
            self._events.record("claims-deleted", rows=len(old))
        return len(old)

    def _oldest_kept_ms(self) -> int:
        return min(self._clock.wall_ms(), self._newest_ms) - RETENTION_MS

    async def _delete(self, rows: list[row.Row]) -> None:
        try:
            await self._table.commit(
                transaction.Transaction(
                    checks=tuple(
                        row_check.RowCheck(r.key, r.revision) for r in rows
                    ),
                    deletes=tuple(r.key for r in rows),
                )
            )
        except exceptions.TransactionConflictError:
            # Another holder deleted some of the rows; the next pass handles
            # the remaining ones.
            return
