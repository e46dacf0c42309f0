"""Finds other nodes through the rows that each of them writes."""

import collections.abc
import json
import logging

from galenatack import exceptions
from galenatack.config import retry_backoff
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.interfaces import shared_table
from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.model import member_record
from galenatack.model import member_status
from galenatack.model import row_change
from galenatack.model import table_row

TABLE = "galenatack-nodes"

FIRST_RETRY_S = 0.2
LONGEST_RETRY_S = 1.0
"""Bounds of the pause after a failure; a node must be found again within 2 s
of the store's return."""

SECOND_LOOK_S = 1.5
"""Nodes that start together write their rows within this time."""

FIRST_LOOKS = 2
"""Looks of each node after its start."""

LOOK_S = 30.0
"""How often the discovery reader of a data centre looks for more nodes."""

LONELY_LOOK_S = 1.0
"""How often a node that knows no other one looks."""

REAP_AFTER_S = 120.0
"""A row is deleted after its node has been unreachable for this long."""

_LOGGER = logging.getLogger(__name__)

_Record = member_record.MemberRecord


class Discovery:
    """Writes this node's address to the store and reads those of others.

    The row changes only with the address, so that restarts write nothing.
    Everything else about a node is told by the node itself.

    Args:
        table: The store.
        members: Members; found nodes are added as unconfirmed ones.
        clock: Source of time.
        rng: Jitter.
        is_discovery_reader: Tells whether this node looks for others on
            behalf of its data centre, which learns of them from it.
    """

    def __init__(
        self,
        *,
        table: shared_table.SharedTable,
        members: member_table.MemberTable,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        is_discovery_reader: collections.abc.Callable[[], bool],
    ):
        self._table = table
        self._members = members
        self._clock = clock
        self._rng = rng
        self._is_discovery_reader = is_discovery_reader
        self._lost_s: dict[str, float] = {}
        self._looks = 0

    async def run(self) -> None:
        """Works until cancelled."""
        delays = retry_backoff.RetryBackoff(
            rng=self._rng, base_s=FIRST_RETRY_S, cap_s=LONGEST_RETRY_S
        )
        while True:
            try:
                if self._is_look_due():
                    await self._look()
            except exceptions.PlatformError as error:
                _LOGGER.info(
                    "event=discovery-failed error=%s detail=%r",
                    error.code,
                    str(error),
                )
                await self._clock.sleep_s(FIRST_RETRY_S + delays.next_s())
            else:
                delays.reset()
                await self._clock.sleep_s(self._pause_s())

    async def withdraw(self) -> None:
        """Deletes the own row, because the instance goes away for good.

        Raises:
            exceptions.PlatformError: The row may still be there.
        """
        own = self._members.own
        change = row_change.RowChange(deletes=((TABLE, own.node_id),))
        await self._table.commit(change)

    def _is_look_due(self) -> bool:
        is_new = self._looks < FIRST_LOOKS
        return is_new or self._is_alone() or self._is_discovery_reader()

    def _is_alone(self) -> bool:
        return len(self._members.live()) <= 1

    def _pause_s(self) -> float:
        self._looks += 1
        if self._is_alone():
            return LONELY_LOOK_S
        if self._looks == 1:
            return SECOND_LOOK_S
        return LOOK_S * self._rng.uniform(0.8, 1.2)

    async def _look(self) -> None:
        page = await self._table.read(TABLE)
        own_value = _encode(self._members.own)
        own_id = self._members.own.node_id
        listed = {row.key: row for row in page.rows}
        if own_id not in listed or listed[own_id].value != own_value:
            await self._write(own_value)
            if not listed.keys() - {own_id}:
                # Nodes that started at the same time may be there by now.
                page = await self._table.read(TABLE)
        self._take(page.rows)
        await self._reap(page.rows)

    async def _write(self, value: bytes) -> None:
        own_id = self._members.own.node_id
        await self._table.commit(
            row_change.RowChange(writes=((TABLE, own_id, value),))
        )

    def _take(self, rows: tuple[table_row.TableRow, ...]) -> None:
        found = []
        for row in rows:
            if self._members.get(row.key) is not None:
                continue
            record = _decode(row)
            if record is not None:
                found.append(record)
        if found:
            self._members.merge(found)

    async def _reap(self, rows: tuple[table_row.TableRow, ...]) -> None:
        """Deletes the rows of nodes that have been dead for long."""
        now_s = self._clock.monotonic_s()
        dead = {record.node_id for record in self._members.tombstones()}
        for node_id in self._lost_s.keys() - dead:
            del self._lost_s[node_id]
        for row in rows:
            if row.key not in dead:
                continue
            since_s = self._lost_s.setdefault(row.key, now_s)
            if now_s - since_s >= REAP_AFTER_S:
                await self._delete(row)

    async def _delete(self, row: table_row.TableRow) -> None:
        change = row_change.RowChange(
            expected=((TABLE, row.key, row.revision),),
            deletes=((TABLE, row.key),),
        )
        try:
            await self._table.commit(change)
        except exceptions.TransactionConflictError:
            # Another node deleted it, or it is back.
            _LOGGER.info("event=row-not-reaped node=%s", row.key)
        else:
            _LOGGER.info("event=row-reaped node=%s", row.key)


def _encode(record: _Record) -> bytes:
    fields = {
        "data_centre": record.data_centre,
        "region": record.region,
        "service": record.service,
        "peer_address": record.peer_address,
    }
    return json.dumps(fields, separators=(",", ":"), sort_keys=True).encode()


def _decode(row: table_row.TableRow) -> _Record | None:
    """Returns an unconfirmed record, which any record of the node beats."""
    try:
        fields = json.loads(row.value)
        return _Record(
            node_id=row.key,
            incarnation=membership_service.UNCONFIRMED,
            status=member_status.MemberStatus.JOINING.value,
            data_centre=str(fields["data_centre"]),
            region=str(fields["region"]),
            service=str(fields["service"]),
            version="",
            peer_address=str(fields["peer_address"]),
            call_address="",
            admin_address="",
            slots=0,
        )
    except (ValueError, KeyError, TypeError) as error:
        _LOGGER.warning(
            "event=node-row-unreadable node=%s error=%r", row.key, error
        )
        return None
