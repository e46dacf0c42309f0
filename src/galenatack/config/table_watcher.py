"""Follows one shared table."""

import collections.abc
import logging

import anyio

from galenatack import exceptions
from galenatack.config import retry_backoff
from galenatack.config import row_mirror
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.interfaces import shared_table
from galenatack.model import table_page

WAIT_S = 25.0
"""Longest time that the store holds a watch without a change. Its connection
has keep-alive probes, so that a silent one is noticed sooner."""

FIRST_RETRY_S = 0.15
LONGEST_RETRY_S = 0.8
"""Bounds of the pause after a failure. Rows must be back within 2 s of the
store's return."""

POLL_S = 0.1
"""How often a node asks whether it is its turn to follow the store."""

MIN_RESTART_S = 0.5
"""A watch that was sent less than this long ago is not sent again."""

_LOGGER = logging.getLogger(__name__)

OnRows = collections.abc.Callable[[], collections.abc.Awaitable[None]]


class TableWatcher:
    """Reads a table once, then watches its changes, while elected.

    Args:
        name: Name of the table, also an attribute.
        table: The store.
        mirror: Gets the rows.
        clock: Source of time.
        rng: Jitter.
        should_follow: Tells whether this node should follow the store now.
        on_rows: Called after the store brought rows.
        pace_s: Least time between a change and the next watch. Changes that
            come in quick succession are then read together.

    Attributes:
        is_healthy: False while the store does not answer.
        is_following: True while this node hears changes from the store.
        answered_s: When the store last answered.
    """

    def __init__(
        self,
        *,
        name: str,
        table: shared_table.SharedTable,
        mirror: row_mirror.RowMirror,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        should_follow: collections.abc.Callable[[], bool],
        on_rows: OnRows,
        pace_s: float = 0.0,
    ):
        self.name = name
        self._table = table
        self._mirror = mirror
        self._clock = clock
        self._delays = retry_backoff.RetryBackoff(
            rng=rng, base_s=FIRST_RETRY_S, cap_s=LONGEST_RETRY_S
        )
        self._should_follow = should_follow
        self._on_rows = on_rows
        self._pace_s = pace_s
        self._after: int | None = None
        self._is_crowded = False
        self._scope: anyio.CancelScope | None = None
        self._asked_s = 0.0
        self.is_healthy = True
        self.is_following = False
        self.answered_s = clock.monotonic_s()

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if not self._should_follow():
                self._stand_by()
                await self._clock.sleep_s(POLL_S)
                continue
            try:
                await self._step()
            except exceptions.HistoryLostError as error:
                _LOGGER.info(
                    "event=history-lost table=%s after=%s error=%s",
                    self.name,
                    self._after,
                    error,
                )
                self._after = None
            except exceptions.PlatformError as error:
                self._note_failure(error)
                await self._clock.sleep_s(self._delays.next_s())

    def restart_watch(self) -> None:
        """Asks anew, because another node knows something newer."""
        age_s = self._clock.monotonic_s() - self._asked_s
        if self._scope is not None and age_s >= MIN_RESTART_S:
            self._scope.cancel()

    def stop_if_not_elected(self) -> None:
        """Ends the watch when another node has taken over."""
        if self._scope is not None and not self._should_follow():
            self._scope.cancel()

    def _stand_by(self) -> None:
        """Leaves the store to another node; its rows come from there."""
        if self.is_following:
            _LOGGER.info("event=store-left table=%s", self.name)
        self.is_following = False
        self.is_healthy = True
        # The rows that peers hand over meanwhile are not read once more.
        if self._mirror.revision(self.name):
            self._after = self._mirror.revision(self.name)

    async def _step(self) -> None:
        self._asked_s = self._clock.monotonic_s()
        page = None
        with anyio.CancelScope() as self._scope:
            page = await self._ask()
        self._scope = None
        if page is None:
            # The watch was cut short, which says nothing of the store.
            return
        self._note_answer()
        self._after = page.revision
        if page.rows:
            await self._on_rows()
            await self._clock.sleep_s(self._pace_s)

    async def _ask(self) -> table_page.TablePage:
        if self._after is None or self._is_crowded:
            page = await self._table.read(self.name)
            taken = self._mirror.replace(self.name, page)
            self._is_crowded = self._is_crowded and bool(taken)
            return page
        # A node that takes over learns at once whether the store answers it.
        wait_s = WAIT_S if self.is_following else 0.0
        page = await self._table.watch(
            self.name, after=self._after, wait_s=wait_s
        )
        self._mirror.apply(page.rows)
        # A watch brings each version of a row. While they follow each other
        # this quickly, reading the table brings only the newest.
        keys = {row.key for row in page.rows}
        self._is_crowded = len(keys) < len(page.rows)
        return page

    def _note_failure(self, error: exceptions.PlatformError) -> None:
        if self.is_healthy:
            _LOGGER.warning(
                "event=store-lost table=%s error=%s detail=%r",
                self.name,
                error.code,
                str(error),
            )
        self.is_healthy = False
        self.is_following = False

    def _note_answer(self) -> None:
        if not self.is_healthy:
            _LOGGER.info(
                "event=store-regained table=%s after_ms=%d",
                self.name,
                (self._clock.monotonic_s() - self.answered_s) * 1000,
            )
        self.is_healthy = True
        self.answered_s = self._clock.monotonic_s()
        self._delays.reset()
        if not self.is_following:
            _LOGGER.info("event=store-followed table=%s", self.name)
            self.is_following = True
