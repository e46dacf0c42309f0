"""Lease for driving a move, stored as a row of the table."""

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import table as table_interface
from galenatack.model import row
from galenatack.model import row_check
from galenatack.model import transaction

LEASE_S = 5.0
RENEW_S = 1.0
# Delay per rank, which keeps candidates from racing each other.
RANK_STAGGER_S = 1.0


class Lease:
    """Acquires, renews and observes the lease of one service.

    The observer decides about expiry: a row whose revision has not changed
    for 5 s of the observer's monotonic clock may be taken over. The holder's
    clock does not matter, because each of its writes is fenced by the revision
    of the lease row.
    """

    def __init__(
        self,
        *,
        service: str,
        node_id: str,
        incarnation: int,
        table: table_interface.Table,
        clock: clock_interface.Clock,
    ):
        self._key = f"lease/move/{service}"
        self._node_id = node_id
        self._incarnation = incarnation
        self._table = table
        self._clock = clock
        self._beat = 0
        self._held_revision: int | None = None
        self._renewed_s = 0.0
        self._seen_revision: int | None = None
        self._unchanged_since_s = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this node held the lease at its last read or write."""
        return self._held_revision is not None

    def check(self) -> row_check.RowCheck:
        """Returns the check that fences every write of the driver.

        Raises:
            exceptions.LeaseLostError: This node does not hold the lease.
        """
        if self._held_revision is None:
            raise exceptions.LeaseLostError(f"{self._key} is not held")
        return row_check.RowCheck(self._key, self._held_revision)

    def drop(self) -> None:
        """Marks the lease as lost after its check failed in a write."""
        self._held_revision = None
        self._seen_revision = None

    async def acquire(self, *, rank: int) -> bool:
        """Reads the row and takes the lease over if it is free or expired.

        Args:
            rank: Rank of this node among the candidates, 0 for the first.

        Raises:
            exceptions.PlatformError: The table did not answer.
        """
        lease_row = await self._table.get(self._key)
        revision = lease_row.revision if lease_row else 0
        now_s = self._clock.monotonic_s()
        if revision != self._seen_revision:
            self._seen_revision = revision
            self._unchanged_since_s = now_s
        wait_s = LEASE_S if self._is_held_by_other(lease_row) else 0.0
        if now_s - self._unchanged_since_s < wait_s + rank * RANK_STAGGER_S:
            return False
        return await self._write(revision)

    async def renew(self) -> bool:
        """Renews the lease when it is due; returns False if it was lost.

        Raises:
            exceptions.PlatformError: The table did not answer.
        """
        if self._held_revision is None:
            return False
        if self._clock.monotonic_s() - self._renewed_s < RENEW_S:
            return True
        return await self._write(self._held_revision)

    async def release(self) -> None:
        """Deletes the row, so the next move does not wait for its expiry."""
        if self._held_revision is None:
            return
        check = self.check()
        self._held_revision = None
        try:
            await self._table.commit(
                transaction.Transaction(checks=(check,), deletes=(self._key,))
            )
        except exceptions.PlatformError:
            return

    def _is_held_by_other(self, lease_row: row.Row | None) -> bool:
        if lease_row is None:
            return False
        holder = (lease_row.value["holder"], lease_row.value["incarnation"])
        return holder != (self._node_id, self._incarnation)

    async def _write(self, revision: int) -> bool:
        self._beat += 1
        value = {
            "holder": self._node_id,
            "incarnation": self._incarnation,
            "beat": self._beat,
        }
        change = transaction.Transaction(
            checks=(row_check.RowCheck(self._key, revision),),
            puts=((self._key, value),),
        )
        try:
            written = await self._table.commit(change)
        except exceptions.TransactionConflictError:
            self.drop()
            return False
        except exceptions.OutcomeUnknownError:
            return await self._resolve(value)
        self._hold(written)
        return True

    async def _resolve(self, value: dict[str, object]) -> bool:
        """Reads whether a write of unknown outcome took effect."""
        lease_row = await self._table.get(self._key)
        if lease_row is None or lease_row.value != value:
            self.drop()
            return False
        self._hold(lease_row.revision)
        return True

    def _hold(self, revision: int) -> None:
        self._held_revision = revision
        self._renewed_s = self._clock.monotonic_s()
