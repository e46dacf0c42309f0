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
from galenatack.model import store_revision
from galenatack.model import table_page

ANSWER_DELAY_S = 2.5
"""Maximum delay of the answer to a watch. A store that is silent for longer may
have changes that this node does not get."""

FIRST_RETRY_S = 0.15
MAX_RETRY_S = 0.8
"""Bounds of the delay after a failure. Rows must be current within 2 s after
the store has recovered."""

REREAD_DELAYS_S = (3.5, 7.0)
"""Delays of further reads after the store has lost its history. The first read
may come from a replica that is some seconds behind and still name the newest
revision; a watch from there would never return what the read lacked."""

POLL_S = 0.1
"""Interval at which a node checks whether it is elected."""

MIN_RESTART_S = 0.5
"""A watch younger than this is not restarted."""

_LOGGER = logging.getLogger(__name__)

OnChange = collections.abc.Callable[[], collections.abc.Awaitable[None]]
OnConfirmed = collections.abc.Callable[[float], None]


class TableWatcher:
    """While elected, reads a table once and then watches its changes.

    Args:
        name: Name of the table, also an attribute.
        table: The store.
        mirror: Stores the rows.
        clock: Source of time.
        rng: Source of jitter.
        should_follow: Returns whether this node should follow the store now.
        on_change: Called after the store has returned rows, and when this
            node is elected or starts or stops to follow the table.
        watch_s: Longest time that the store keeps a watch open without a
            change. An open watch does not show whether the store still
            responds, so this limits how long a silent store goes unnoticed.
        min_interval_s: Minimum time between a change and the next watch.
            Changes in quick succession are then read together.
        on_confirmed: Called with a monotonic time at which the store held the
            rows that this node now has: the time of an answered request. Not
            called after a read that may lag behind the store.

    Attributes:
        is_healthy: False while the store does not respond.
        last_response_s: Monotonic time of the store's last response.
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
        on_change: OnChange,
        watch_s: float,
        min_interval_s: float = 0.0,
        on_confirmed: OnConfirmed = lambda time_s: None,
    ):
        self.name = name
        self._table = table
        self._mirror = mirror
        self._clock = clock
        self._delays = retry_backoff.RetryBackoff(
            rng=rng, base_s=FIRST_RETRY_S, cap_s=MAX_RETRY_S
        )
        self._should_follow = should_follow
        self._on_change = on_change
        self._watch_s = watch_s
        self._min_interval_s = min_interval_s
        self._on_confirmed = on_confirmed
        self._may_lag = False
        self._history_delays = retry_backoff.RetryBackoff(
            rng=rng, base_s=FIRST_RETRY_S, cap_s=MAX_RETRY_S
        )
        self._rereads_s: list[float] = []
        self._after: int | None = None
        self._has_superseded_rows = False
        self._has_lost_watch = False
        self._is_watch_proven = True
        self._is_elected = False
        self._scope: anyio.CancelScope | None = None
        self._requested_s = 0.0
        self._has_responded = False
        self.is_healthy = True
        self.last_response_s = clock.monotonic_s()

    @property
    def is_following(self) -> bool:
        """True while this node gets changes from the store.

        Depends on the age of the last response: after a pause of this process,
        its watch may have been lost.
        """
        age_s = self._clock.monotonic_s() - self.last_response_s
        is_answered = self._has_responded and self._is_watch_proven
        return is_answered and (
            age_s <= self._min_interval_s + self._watch_s + ANSWER_DELAY_S
        )

    async def run(self) -> None:
        """Follows the table until cancelled."""
        while True:
            if not self._should_follow():
                await self._stop_following()
                await self._clock.sleep_s(POLL_S)
                continue
            if not self._is_elected:
                self._is_elected = True
                await self._on_change()
            try:
                await self._step()
            except exceptions.HistoryLostError as error:
                _LOGGER.info(
                    "event=history-lost table=%s after=%s error=%s",
                    self.name,
                    self._after,
                    error,
                )
                await self._schedule_reads()
            except exceptions.PlatformError as error:
                await self._record_failure(error)
                await self._clock.sleep_s(self._delays.next_s())

    def restart_watch(self) -> None:
        """Restarts the watch, because another node holds newer rows."""
        age_s = self._clock.monotonic_s() - self._requested_s
        if self._scope is not None and age_s >= MIN_RESTART_S:
            self._scope.cancel()

    def restart_if_restored(self) -> None:
        """Restarts a watch that began before the store was restored."""
        if self._scope is None or self._after is None:
            return
        if self._is_of_former_era(self._after):
            self._scope.cancel()

    def stop_if_not_elected(self) -> None:
        """Cancels the watch if another node has taken over."""
        if self._scope is not None and not self._should_follow():
            self._scope.cancel()

    async def _stop_following(self) -> None:
        """Marks this node as passive; it gets rows from another node."""
        if self._has_responded:
            _LOGGER.info("event=store-left table=%s", self.name)
        # An elected node has claimed to follow, even if the store has not
        # answered it.
        was_elected, self._is_elected = self._is_elected, False
        self._has_responded = False
        self._has_lost_watch = False
        self._is_watch_proven = True
        self.is_healthy = True
        if was_elected:
            await self._on_change()
        # Rows received from peers in the meantime are not read again.
        if self._mirror.revision(self.name):
            self._after = self._mirror.revision(self.name)

    async def _schedule_reads(self) -> None:
        """Schedules reads of the table after a loss of history."""
        now_s = self._clock.monotonic_s()
        is_repeated = bool(self._rereads_s)
        self._after = None
        self._rereads_s = [now_s + delay_s for delay_s in REREAD_DELAYS_S]
        if is_repeated:
            # The rows that were read are older than the remaining history.
            await self._clock.sleep_s(self._history_delays.next_s())

    async def _step(self) -> None:
        self._requested_s = self._clock.monotonic_s()
        page = None
        with anyio.CancelScope() as self._scope:
            page = await self._fetch()
        self._scope = None
        if page is None:
            # The watch was cancelled; the health of the store is unknown.
            return
        was_following = self.is_following
        self._record_response()
        if not self._may_lag:
            self._on_confirmed(self._requested_s)
        self._after = page.revision
        # Nodes of higher rank take over unless they learn of a new follower
        # at once.
        if page.rows or not was_following:
            await self._on_change()
        if page.rows:
            await self._clock.sleep_s(self._min_interval_s)

    async def _fetch(self) -> table_page.TablePage:
        if self._after is not None and self._is_of_former_era(self._after):
            self._after = None
        is_reread_due = bool(self._rereads_s) and (
            self._clock.monotonic_s() >= self._rereads_s[0]
        )
        is_read_due = (
            self._after is None
            or self._has_superseded_rows
            or self._has_lost_watch
        )
        if is_read_due or is_reread_due:
            return await self._read(is_reread=is_reread_due)
        return await self._watch(self._after)

    async def _watch(self, after: int) -> table_page.TablePage:
        """Waits for changes after a revision."""
        # After a takeover the first watch returns at once, which shows whether
        # the store responds to this node.
        wait_s = self._watch_s if self.is_following else 0.0
        page = await self._table.watch(self.name, after=after, wait_s=wait_s)
        self._is_watch_proven = True
        if wait_s:
            # One that returns at once does not show that open ones last.
            self._delays.reset()
        self._mirror.apply(page.rows)
        # Before the last read after a loss of history, rows from before the
        # watch may be missing.
        self._may_lag = bool(self._rereads_s)
        # A watch returns each version of a row. While rows change this
        # quickly, the table is read instead, which returns only the newest.
        keys = {row.key for row in page.rows}
        self._has_superseded_rows = len(keys) < len(page.rows)
        return page

    async def _read(self, *, is_reread: bool) -> table_page.TablePage:
        """Reads the whole table."""
        page = await self._table.read(self.name)
        if is_reread:
            del self._rereads_s[0]
        self._may_lag = bool(self._rereads_s) or self._has_lost_watch
        applied = self._mirror.replace(self.name, page, may_lag=self._may_lag)
        if not self._rereads_s:
            self._history_delays.reset()
        if self._has_lost_watch and self._after is not None:
            # What caused the loss may make this read lag, too. The next watch
            # returns what it lacks.
            newest = max((row.revision for row in page.rows), default=0)
            page = page._replace(revision=max(self._after, newest))
        self._has_lost_watch = False
        self._has_superseded_rows = self._has_superseded_rows and bool(applied)
        _LOGGER.info(
            "event=table-read table=%s revision=%d newest_row=%d rows=%d"
            " changed=%d reads_left=%d",
            self.name,
            page.revision,
            max((row.revision for row in page.rows), default=0),
            len(page.rows),
            len(applied),
            len(self._rereads_s),
        )
        return page

    def _is_of_former_era(self, revision: int) -> bool:
        """Returns whether the store was restored after a revision."""
        era = self._mirror.era
        return era is not None and store_revision.era(revision) < era

    async def _record_failure(self, error: exceptions.PlatformError) -> None:
        if self.is_healthy:
            _LOGGER.warning(
                "event=store-lost table=%s after=%s silent_ms=%d error=%s"
                " detail=%r",
                self.name,
                self._after,
                (self._clock.monotonic_s() - self.last_response_s) * 1000,
                error.code,
                str(error),
            )
        # All versions since a revision may be too long an answer, each time; a
        # read returns only the newest. If it fails too, watches continue.
        is_lost = isinstance(error, exceptions.PlatformAnswerLostError)
        self._has_lost_watch = is_lost and not self._has_lost_watch
        # A read that succeeds does not show that watches do: until one has,
        # other nodes take over.
        self._is_watch_proven = self._is_watch_proven and not is_lost
        was_healthy = self.is_healthy
        self.is_healthy = False
        self._has_responded = False
        if was_healthy:
            await self._on_change()

    def _record_response(self) -> None:
        if not self.is_healthy:
            _LOGGER.info(
                "event=store-regained table=%s after_ms=%d",
                self.name,
                (self._clock.monotonic_s() - self.last_response_s) * 1000,
            )
        self.is_healthy = True
        self.last_response_s = self._clock.monotonic_s()
        if not self._has_responded:
            _LOGGER.info("event=store-followed table=%s", self.name)
            self._has_responded = True
