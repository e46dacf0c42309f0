"""Keeps the requests that are refused for their crashes in the store."""

import collections.abc
import json
import logging

import anyio

from galenatack import exceptions
from galenatack import json_document
from galenatack.config import retry_backoff
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.interfaces import shared_table
from galenatack.model import crash_entry
from galenatack.model import row_change
from galenatack.model import table_row
from galenatack.quarantine import crash_ledger

TABLE = "galenatack-crashes"

FIRST_RETRY_S = 0.2
MAX_RETRY_S = 2.0

MAX_DELETES = 100
"""Maximum number of entries of a transaction."""

_LOGGER = logging.getLogger(__name__)

MS_PER_S = 1000

Action = collections.abc.Callable[[], collections.abc.Awaitable[None]]


def is_archived(crashes: int) -> bool:
    """Returns whether a request with so many crashes is kept in the store.

    A first crash makes suspects of all requests that were running; most of
    them are cleared within a second.
    """
    return crashes >= crash_ledger.TRIAL_CRASHES


class CrashArchive:
    """Writes refused requests to the store and reads them at the start.

    Nodes tell each other of crashes; a row is for the case that all of them
    are restarted at once. The node beside the last target that crashed writes
    it. It is deleted when the request was answered, or by a node that reads it
    when it has expired.

    Args:
        ledger: Crashes known to this node.
        table: The store.
        clock: Source of time.
        rng: Jitter of the retries.
    """

    def __init__(
        self,
        *,
        ledger: crash_ledger.CrashLedger,
        table: shared_table.SharedTable,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
    ):
        self._ledger = ledger
        self._table = table
        self._clock = clock
        self._delays = retry_backoff.RetryBackoff(
            rng=rng, base_s=FIRST_RETRY_S, cap_s=MAX_RETRY_S
        )
        self._changed: set[bytes] = set()
        self._has_changes = anyio.Event()

    def note(self, fingerprint: bytes) -> None:
        """Notes that this node saw a crash under a request, or its answer."""
        self._changed.add(fingerprint)
        self._has_changes.set()

    async def run(self) -> None:
        """Reads once, then writes what changes, until cancelled."""
        await self._retry(self._read)
        while True:
            await self._has_changes.wait()
            self._has_changes = anyio.Event()
            await self._retry(self._write)

    async def _retry(self, action: Action) -> None:
        while True:
            try:
                await action()
            except exceptions.PlatformError as error:
                _LOGGER.info(
                    "event=crash-archive-failed error=%s detail=%r",
                    error.code,
                    str(error),
                )
                await self._clock.sleep_s(FIRST_RETRY_S + self._delays.next_s())
            else:
                self._delays.reset()
                return

    async def _read(self) -> None:
        page = await self._table.read(TABLE)
        expired = []
        for row in page.rows:
            entries = self._decode(row)
            if entries and all(
                entry.age_ms > crash_ledger.EXPIRY_S * MS_PER_S
                for entry in entries
            ):
                expired.append((TABLE, row.key))
            self._ledger.add(entries)
        if expired:
            await self._table.commit(
                row_change.RowChange(deletes=tuple(expired[:MAX_DELETES]))
            )

    async def _write(self) -> None:
        while self._changed:
            fingerprint = self._changed.pop()
            key = fingerprint.hex()
            crashes = self._ledger.crashes(fingerprint)
            if is_archived(crashes):
                change = row_change.RowChange(
                    writes=((TABLE, key, self._encode(fingerprint)),)
                )
            else:
                change = row_change.RowChange(deletes=((TABLE, key),))
            try:
                await self._table.commit(change)
            except exceptions.PlatformError:
                self._changed.add(fingerprint)
                raise

    def _encode(self, fingerprint: bytes) -> bytes:
        now_ms = self._clock.wall_ms()
        return json.dumps(
            {
                "crashes": {
                    entry.crash_id: [now_ms - entry.age_ms, entry.was_suspect]
                    for entry in self._ledger.entries_of(fingerprint)
                    if not entry.is_cleared
                }
            }
        ).encode()

    def _decode(
        self, row: table_row.TableRow
    ) -> tuple[crash_entry.CrashEntry, ...]:
        now_ms = self._clock.wall_ms()
        try:
            crashes = json_document.load(row.value)["crashes"]
            return tuple(
                crash_entry.CrashEntry(
                    bytes.fromhex(row.key),
                    crash_id,
                    max(0, now_ms - at_ms),
                    was_suspect,
                    False,
                )
                for crash_id, (at_ms, was_suspect) in crashes.items()
            )
        except (
            exceptions.DocumentError,
            ValueError,
            KeyError,
            TypeError,
            AttributeError,
        ) as error:
            _LOGGER.warning(
                "event=row-refused table=%s key=%s revision=%d error=%r",
                row.table,
                row.key,
                row.revision,
                error,
            )
            return ()
