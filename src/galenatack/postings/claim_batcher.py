"""Inserts claim rows in batches."""

import collections

import anyio

from galenatack import exceptions
from galenatack.interfaces import table
from galenatack.model import row
from galenatack.model import row_check
from galenatack.model import transaction
from galenatack.postings import claim

MAX_BATCH_ROWS = 50
MAX_BATCH_DELAY_S = 0.005
MAX_OPEN_BATCHES = 8
# Limits how long a hanging table can occupy the open batches.
WRITE_TIMEOUT_S = 2.0
MAX_LOST_ANSWERS = 2
# Each round settles at least one conflicting row, except for rows that are
# released between the conflict and the read.
MAX_ROUNDS = MAX_BATCH_ROWS + 10


class _PendingClaim:
    """A claim waiting for its insert; `row` is the row in the table."""

    def __init__(self, key: str, proposed: claim.Claim):
        self.key = key
        self.proposed = proposed
        self.row: row.Row | None = None
        self.error: exceptions.PlatformError | None = None
        self.settled = anyio.Event()

    def settle(self, claim_row: row.Row) -> None:
        """Completes the claim with the row in the table."""
        self.row = claim_row
        self.settled.set()

    def fail(self, error: exceptions.PlatformError) -> None:
        """Completes the claim with an error; its insert is unconfirmed."""
        self.error = error
        self.settled.set()


class ClaimBatcher:
    """Inserts claim rows in batches; requires `run` to be running.

    While no batch is open, a claim is written immediately, so postings at low
    load are not delayed. Otherwise claims are collected for up to 5 ms.
    """

    def __init__(self, *, table: table.Table):
        self._table = table
        # An OrderedDict, because iterating a dict scans all entries that were
        # deleted at its front.
        self._pending: collections.OrderedDict[_PendingClaim, None] = (
            collections.OrderedDict()
        )
        self._open_batches = 0
        self._arrived = anyio.Event()
        self._batch_full = anyio.Event()
        self._batch_slots = anyio.Semaphore(MAX_OPEN_BATCHES)

    async def run(self) -> None:
        """Writes batches until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._arrived.wait()
                if self._open_batches:
                    await self._gather()
                await self._batch_slots.acquire()
                self._open_batches += 1
                tasks.start_soon(self._write_batch, self._next_batch())

    async def insert(
        self, key: str, proposed: claim.Claim
    ) -> tuple[bool, claim.Claim]:
        """Inserts a claim row unless the key has one.

        Returns:
            Whether `proposed` was inserted, and the claim in the table.

        Raises:
            exceptions.PlatformUnavailableError: The claim was not made.
            exceptions.PlatformError: It is not known whether it was made;
                its attempt must never be dispatched.
        """
        pending = _PendingClaim(key, proposed)
        self._pending[pending] = None
        self._arrived.set()
        if len(self._pending) >= MAX_BATCH_ROWS:
            self._batch_full.set()
        try:
            await pending.settled.wait()
        finally:
            self._pending.pop(pending, None)
        if pending.error is not None:
            raise pending.error
        existing = claim.from_value(pending.row.value)
        return existing.attempt == proposed.attempt, existing

    async def _gather(self) -> None:
        with anyio.move_on_after(MAX_BATCH_DELAY_S):
            await self._batch_full.wait()

    def _next_batch(self) -> list[_PendingClaim]:
        batch: dict[str, _PendingClaim] = {}
        for pending in self._pending:
            if len(batch) >= MAX_BATCH_ROWS:
                break
            batch.setdefault(pending.key, pending)
        for pending in batch.values():
            del self._pending[pending]
        if not self._pending:
            self._arrived = anyio.Event()
        if len(self._pending) < MAX_BATCH_ROWS:
            self._batch_full = anyio.Event()
        return list(batch.values())

    async def _write_batch(self, batch: list[_PendingClaim]) -> None:
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self._write(batch)
        except exceptions.PlatformError as error:
            _fail(batch, error)
        except TimeoutError:
            _fail(batch, exceptions.OutcomeUnknownError("no answer in time"))
        finally:
            self._open_batches -= 1
            self._batch_slots.release()

    async def _write(self, batch: list[_PendingClaim]) -> None:
        lost_answers = 0
        for _ in range(MAX_ROUNDS):
            if not batch:
                return
            try:
                revision = await self._table.commit(_insert(batch))
            except exceptions.TransactionConflictError as error:
                conflicting = [
                    pending for pending in batch if pending.key in error.keys
                ]
                if not conflicting:
                    raise
                await self._read_back(conflicting)
            except exceptions.PlatformUnavailableError as error:
                if not lost_answers:
                    raise
                # An earlier insert of this batch may still take effect.
                raise exceptions.OutcomeUnknownError(str(error)) from error
            except exceptions.OutcomeUnknownError:
                lost_answers += 1
                if lost_answers > MAX_LOST_ANSWERS:
                    raise
                await self._read_back(batch)
            else:
                for pending in batch:
                    value = claim.to_value(pending.proposed)
                    pending.settle(row.Row(pending.key, value, revision))
            batch = [
                pending for pending in batch if not pending.settled.is_set()
            ]
        raise exceptions.OutcomeUnknownError("claim rows kept changing")

    async def _read_back(self, claims: list[_PendingClaim]) -> None:
        async with anyio.create_task_group() as tasks:
            for pending in claims:
                tasks.start_soon(self._read_row, pending)

    async def _read_row(self, pending: _PendingClaim) -> None:
        """Settles a claim by its row; without a row it is inserted again.

        A second insert is safe even if the first one arrives late: both have
        the same attempt, and only one of them finds the key absent.
        """
        try:
            claim_row = await self._table.get(pending.key)
        except exceptions.PlatformError as error:
            pending.fail(exceptions.OutcomeUnknownError(str(error)))
            return
        if claim_row is not None:
            pending.settle(claim_row)


def _fail(batch: list[_PendingClaim], error: exceptions.PlatformError) -> None:
    for pending in batch:
        if not pending.settled.is_set():
            pending.fail(error)


def _insert(batch: list[_PendingClaim]) -> transaction.Transaction:
    return transaction.Transaction(
        checks=tuple(row_check.RowCheck(pending.key, 0) for pending in batch),
        puts=tuple(
            (pending.key, claim.to_value(pending.proposed)) for pending in batch
        ),
    )
