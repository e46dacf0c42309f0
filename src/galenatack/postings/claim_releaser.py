"""Deletes the claim rows of attempts that did not run."""

import anyio

from galenatack import exceptions
from galenatack.interfaces import clock
from galenatack.interfaces import table
from galenatack.model import row_check
from galenatack.model import transaction
from galenatack.postings import claim

MAX_PENDING = 20_000
RETRY_DELAY_S = 1.0


class ClaimReleaser:
    """Deletes claim rows in the background; requires `run` to be running.

    The caller's `not-run` result does not wait for the deletion. A row that
    could not be deleted is released again when a repeat finds it.
    """

    def __init__(self, *, table: table.Table, clock: clock.Clock):
        self._table = table
        self._clock = clock
        self._pending: dict[str, str] = {}
        self._arrived = anyio.Event()

    def release(self, row_key: str, attempt: str) -> None:
        """Schedules deletion of a row if it still belongs to the attempt."""
        if len(self._pending) < MAX_PENDING:
            self._pending[attempt] = row_key
            self._arrived.set()

    async def run(self) -> None:
        """Deletes rows until cancelled."""
        while True:
            await self._arrived.wait()
            self._arrived = anyio.Event()
            while self._pending:
                attempt, row_key = next(iter(self._pending.items()))
                try:
                    await self._delete(row_key, attempt)
                except exceptions.PlatformError:
                    await self._clock.sleep_s(RETRY_DELAY_S)
                else:
                    self._pending.pop(attempt, None)

    async def _delete(self, row_key: str, attempt: str) -> None:
        claim_row = await self._table.get(row_key)
        if claim_row is None:
            return
        if claim.from_value(claim_row.value).attempt != attempt:
            return
        try:
            await self._table.commit(
                transaction.Transaction(
                    checks=(row_check.RowCheck(row_key, claim_row.revision),),
                    deletes=(row_key,),
                )
            )
        except exceptions.TransactionConflictError:
            return
