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
# A table that hangs must not hold the open batches for longer than this.
WRITE_TIMEOUT_S = 2.0
MAX_LOST_ANSWERS = 2
# Each round settles at least one conflicting row, but for rows that are
# released between the conflict and the read.
MAX_ROUNDS = MAX_BATCH_ROWS + 10


class _Pending:
    """One claim on its way; `row` is the row that stands in the table."""

    def __init__(self, key: str, wanted: claim.Claim):
        self.key = key
        self.wanted = wanted
        self.row: row.Row | None = None
        self.error: exceptions.PlatformError | None = None
        self.settled = anyio.Event()

    def settle(self, found: row.Row) -> None:
        """Ends with the row that stands in the table."""
        self.row = found
        self.settled.set()

    def fail(self, error: exceptions.PlatformError) -> None:
        """Ends without knowing that the claim was made."""
        self.error = error
        self.settled.set()


class ClaimBatcher:
    """Inserts claim rows; `run` must be running.

    A claim is written at once while no batch is open, so that a posting at
    low load does not wait. Otherwise claims are gathered for 5 ms.
    """

    def __init__(self, *, table: table.Table):
        self._table = table
        # An OrderedDict, because iterating a dict passes over all entries
        # that were deleted at its front.
        self._pending: collections.OrderedDict[_Pending, None] = (
            collections.OrderedDict()
        )
        self._open_batches = 0
        self._arrived = anyio.Event()
        self._filled = anyio.Event()
        self._slots = anyio.Semaphore(MAX_OPEN_BATCHES)

    async def run(self) -> None:
        """Writes batches until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._arrived.wait()
                if self._open_batches:
                    await self._gather()
                await self._slots.acquire()
                self._open_batches += 1
                tasks.start_soon(self._write_and_free, self._take())

    async def insert(
        self, key: str, wanted: claim.Claim
    ) -> tuple[bool, claim.Claim]:
        """Inserts a claim row unless the key has one.

        Returns:
            Whether `wanted` was inserted, and the claim that stands.

        Raises:
            exceptions.PlatformUnavailableError: The claim was not made.
            exceptions.PlatformError: It is not known whether it was made;
                its attempt must never be dispatched.
        """
        item = _Pending(key, wanted)
        self._pending[item] = None
        self._arrived.set()
        if len(self._pending) >= MAX_BATCH_ROWS:
            self._filled.set()
        try:
            await item.settled.wait()
        finally:
            self._pending.pop(item, None)
        if item.error is not None:
            raise item.error
        standing = claim.from_value(item.row.value)
        return standing.attempt == wanted.attempt, standing

    async def _gather(self) -> None:
        with anyio.move_on_after(MAX_BATCH_DELAY_S):
            await self._filled.wait()

    def _take(self) -> list[_Pending]:
        batch: dict[str, _Pending] = {}
        for item in self._pending:
            if len(batch) >= MAX_BATCH_ROWS:
                break
            batch.setdefault(item.key, item)
        for item in batch.values():
            del self._pending[item]
        if not self._pending:
            self._arrived = anyio.Event()
        if len(self._pending) < MAX_BATCH_ROWS:
            self._filled = anyio.Event()
        return list(batch.values())

    async def _write_and_free(self, batch: list[_Pending]) -> None:
        try:
            with anyio.fail_after(WRITE_TIMEOUT_S):
                await self._write(batch)
        except exceptions.PlatformError as error:
            _fail(batch, error)
        except TimeoutError:
            _fail(batch, exceptions.OutcomeUnknownError("no answer in time"))
        finally:
            self._open_batches -= 1
            self._slots.release()

    async def _write(self, batch: list[_Pending]) -> None:
        lost_answers = 0
        for _ in range(MAX_ROUNDS):
            if not batch:
                return
            try:
                revision = await self._table.commit(_insert(batch))
            except exceptions.TransactionConflictError as error:
                conflicting = [i for i in batch if i.key in error.keys]
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
                for item in batch:
                    value = claim.to_value(item.wanted)
                    item.settle(row.Row(item.key, value, revision))
            batch = [i for i in batch if not i.settled.is_set()]
        raise exceptions.OutcomeUnknownError("claims kept on changing")

    async def _read_back(self, items: list[_Pending]) -> None:
        async with anyio.create_task_group() as tasks:
            for item in items:
                tasks.start_soon(self._read_row, item)

    async def _read_row(self, item: _Pending) -> None:
        """Settles an item by its row; without a row it is inserted again.

        A second insert is safe even when the first arrives late: both carry
        the same attempt, and only one finds the key absent.
        """
        try:
            found = await self._table.get(item.key)
        except exceptions.PlatformError as error:
            item.fail(exceptions.OutcomeUnknownError(str(error)))
            return
        if found is not None:
            item.settle(found)


def _fail(batch: list[_Pending], error: exceptions.PlatformError) -> None:
    for item in batch:
        if not item.settled.is_set():
            item.fail(error)


def _insert(batch: list[_Pending]) -> transaction.Transaction:
    return transaction.Transaction(
        checks=tuple(row_check.RowCheck(i.key, 0) for i in batch),
        puts=tuple((i.key, claim.to_value(i.wanted)) for i in batch),
    )
