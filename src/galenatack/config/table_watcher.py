"""Follows one shared table."""

import logging

import anyio

from galenatack import exceptions
from galenatack.config import backoff
from galenatack.config import row_mirror
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.interfaces import shared_table

WAIT_S = 25.0
"""Longest time that the store holds a watch without a change. Its connection
has keep-alive probes, so that a silent one is noticed sooner."""

FIRST_RETRY_S = 0.15
LONGEST_RETRY_S = 0.8
"""Bounds of the pause after a failure. Rows must be back within 2 s of the
store's return."""

NUDGE_S = 0.5
"""A watch that was sent less than this long ago is not sent again."""

_LOGGER = logging.getLogger(__name__)


class TableWatcher:
    """Reads a table once, then watches its changes.

    Args:
        name: Name of the table, also an attribute.
        table: The store.
        mirror: Gets the rows.
        clock: Source of time.
        rng: Jitter.
        pace_s: Least time between a change and the next watch. Changes that
            come in quick succession are then read together.

    Attributes:
        is_healthy: False while the store does not answer.
        heard_s: When the store last answered.
    """

    def __init__(
        self,
        *,
        name: str,
        table: shared_table.SharedTable,
        mirror: row_mirror.RowMirror,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        pace_s: float = 0.0,
    ):
        self.name = name
        self._table = table
        self._mirror = mirror
        self._clock = clock
        self._delays = backoff.Backoff(
            rng=rng, base_s=FIRST_RETRY_S, cap_s=LONGEST_RETRY_S
        )
        self._pace_s = pace_s
        self._after: int | None = None
        self._scope: anyio.CancelScope | None = None
        self._asked_s = 0.0
        self.is_healthy = True
        self.heard_s = clock.monotonic_s()

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
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
            else:
                self._note_success()

    def nudge(self) -> None:
        """Asks anew, because another node knows something newer."""
        age_s = self._clock.monotonic_s() - self._asked_s
        if self._scope is not None and age_s >= NUDGE_S:
            self._scope.cancel()

    async def _step(self) -> None:
        self._asked_s = self._clock.monotonic_s()
        has_changed = False
        with anyio.CancelScope() as self._scope:
            if self._after is None:
                page = await self._table.read(self.name)
                self._mirror.replace(self.name, page)
            else:
                page = await self._table.watch(
                    self.name, after=self._after, wait_s=WAIT_S
                )
                self._mirror.apply(page.rows)
            self._after = page.revision
            has_changed = bool(page.rows)
        self._scope = None
        if has_changed:
            await self._clock.sleep_s(self._pace_s)

    def _note_failure(self, error: exceptions.PlatformError) -> None:
        if self.is_healthy:
            _LOGGER.warning(
                "event=store-lost table=%s error=%s detail=%r",
                self.name,
                error.code,
                str(error),
            )
        self.is_healthy = False

    def _note_success(self) -> None:
        if not self.is_healthy:
            _LOGGER.info(
                "event=store-regained table=%s after_ms=%d",
                self.name,
                (self._clock.monotonic_s() - self.heard_s) * 1000,
            )
        self.is_healthy = True
        self.heard_s = self._clock.monotonic_s()
        self._delays.reset()
