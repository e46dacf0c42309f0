"""Writes one change as a conditional transaction with at-most-once effect."""

import collections.abc
import typing

from galenatack import exceptions
from galenatack.config import canonical_json
from galenatack.config import entry_rows
from galenatack.config import retry_backoff
from galenatack.config import row_keys
from galenatack.interfaces import clock
from galenatack.interfaces import random_source
from galenatack.interfaces import table
from galenatack.model import entry
from galenatack.model import row
from galenatack.model import row_check
from galenatack.model import transaction

# Readers poll twice a second. A reader that is further behind than this has
# missed days of changes and reads the full state.
LOG_ROWS_KEPT = 10_000
# Limit on attempts after conflicts on `head` and lost responses. At 2,300
# changes a day, more than two in a row indicate a fault.
MAX_ATTEMPTS = 40
_RETRY_BASE_S = 0.02
_RETRY_CAP_S = 1.0
_OPERATION_ID_BITS = 128


class Prepared(typing.NamedTuple):
    """Body and conditions of a change, based on the current rows.

    Attributes:
        body: Canonical JSON; the same in all attempts of one operation.
        checks: Conditions in addition to those of the operation itself.
    """

    body: bytes
    checks: tuple[row_check.RowCheck, ...] = ()


Prepare = collections.abc.Callable[
    [row.Row | None], collections.abc.Awaitable[Prepared]
]


class Operation:
    """Retries one change until its outcome is known.

    A row keyed by the operation id is written with the change. After a lost
    response it shows whether the transaction was committed.

    Args:
        table: The table service.
        clock: Clock for the delays between attempts.
        rng: Source of the operation id and of jitter.
        key: Key of the entry, such as `profile/prices`.
        extra_puts: Rows written in the same transaction.
    """

    def __init__(
        self,
        *,
        table: table.Table,
        clock: clock.Clock,
        rng: random_source.RandomSource,
        key: str,
        extra_puts: tuple[tuple[str, object], ...] = (),
    ):
        self._table = table
        self._clock = clock
        self._key = key
        self._extra_puts = extra_puts
        self._id = f"{rng.getrandbits(_OPERATION_ID_BITS):032x}"
        self._backoff = retry_backoff.RetryBackoff(
            rng=rng, base_s=_RETRY_BASE_S, cap_s=_RETRY_CAP_S
        )
        self._is_uncertain = False
        self._body = b""

    async def run(self, prepare: Prepare) -> entry.Entry:
        """Repeats the transaction until it is known to be committed.

        Args:
            prepare: Called with the current entry row; may raise to abort.

        Raises:
            exceptions.TransactionConflictError: A check of `prepare` failed
                on a row that the operation itself does not check.
            exceptions.PlatformUnavailableError: Nothing was written.
            exceptions.OutcomeUnknownError: The change may have been written;
                its outcome was still unknown after the last attempt.
        """
        for _ in range(MAX_ATTEMPTS):
            try:
                done = await self._attempt(prepare)
                if done is not None:
                    return done
            except exceptions.OutcomeUnknownError:
                self._is_uncertain = True
            except exceptions.PlatformUnavailableError:
                if not self._is_uncertain:
                    raise
            await self._clock.sleep_s(self._backoff.next_s())
        if self._is_uncertain:
            raise exceptions.OutcomeUnknownError(
                f"outcome of the change of {self._key} is not known"
            )
        raise exceptions.PlatformUnavailableError(
            f"{self._key}: too many conflicting changes"
        )

    async def _attempt(self, prepare: Prepare) -> entry.Entry | None:
        head = await self._table.get(row_keys.HEAD)
        current = await self._table.get(row_keys.entry(self._key))
        # Must follow the read of the entry row: if that row was written by
        # this operation, the operation row is visible as well.
        if self._is_uncertain:
            done = await self._read_committed()
            if done is not None:
                return done
        prepared = await prepare(current)
        self._body = prepared.body
        item = self._entry(head, current)
        change = await self._transaction(item, head, current, prepared)
        try:
            await self._table.commit(change)
        except exceptions.TransactionConflictError as conflict:
            self._handle_conflict(conflict, prepared)
            return None
        return item

    def _handle_conflict(
        self,
        conflict: exceptions.TransactionConflictError,
        prepared: Prepared,
    ) -> None:
        own = {row_keys.HEAD, row_keys.entry(self._key), self._op_key()}
        own -= {check.key for check in prepared.checks}
        if not own.intersection(conflict.keys):
            raise conflict
        if self._op_key() in conflict.keys:
            self._is_uncertain = True

    def _entry(
        self, head: row.Row | None, current: row.Row | None
    ) -> entry.Entry:
        version = _fields(current)["version"] if current else 0
        seq = _fields(head)["seq"] if head else 0
        digest = canonical_json.digest(self._body)
        return entry.Entry(self._key, seq + 1, version + 1, digest, self._body)

    async def _transaction(
        self,
        item: entry.Entry,
        head: row.Row | None,
        current: row.Row | None,
        prepared: Prepared,
    ) -> transaction.Transaction:
        entry_key = row_keys.entry(self._key)
        checks = {
            row_keys.HEAD: head.revision if head else 0,
            entry_key: current.revision if current else 0,
            self._op_key(): 0,
        }
        own = tuple(
            row_check.RowCheck(key, revision)
            for key, revision in checks.items()
            if key not in {check.key for check in prepared.checks}
        )
        value = entry_rows.value(item, operation_id=self._id)
        puts = (
            (row_keys.HEAD, {"seq": item.seq}),
            (row_keys.log(item.seq), value),
            (entry_key, value),
            (self._op_key(), {"seq": item.seq, "version": item.version}),
        )
        return transaction.Transaction(
            checks=own + prepared.checks,
            puts=puts + self._extra_puts,
            deletes=await self._expired_keys(item.seq),
        )

    async def _expired_keys(self, seq: int) -> tuple[str, ...]:
        if seq <= LOG_ROWS_KEPT:
            return ()
        key = row_keys.log(seq - LOG_ROWS_KEPT)
        expired = await self._table.get(key)
        if expired is None:
            return ()
        operation_id = _fields(expired)["operation"]
        return (key, row_keys.operation(operation_id))

    def _op_key(self) -> str:
        return row_keys.operation(self._id)

    async def _read_committed(self) -> entry.Entry | None:
        stored = await self._table.get(self._op_key())
        if stored is None:
            return None
        fields = _fields(stored)
        return entry.Entry(
            self._key,
            fields["seq"],
            fields["version"],
            canonical_json.digest(self._body),
            self._body,
        )


def _fields(stored: row.Row) -> dict[str, typing.Any]:
    return typing.cast(dict[str, typing.Any], stored.value)
