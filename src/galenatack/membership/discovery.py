"""Discovers other nodes through the rows that each node writes."""

import collections.abc
import json
import logging

from galenatack import exceptions
from galenatack import json_document
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
MAX_RETRY_S = 1.0
"""Bounds of the delay after a failure; nodes must discover each other within
2 s after the store has recovered."""

CHECK_INTERVAL_S = 1.5
"""Interval at which a node checks whether it has to read."""

READ_INTERVAL_S = 30.0
"""Interval at which a discovery reader reads."""

LONE_READ_INTERVAL_S = 1.0
"""Interval at which a node without links reads. The nodes that it knows may
all be gone."""

REWRITE_SPREAD_S = 10.0
"""Time over which nodes write their rows again after the store was restored; it
is not met by all of them at once."""

REAP_DELAY_S = 120.0
"""A row is deleted after its node has been dead for this long."""

MAX_PORT = 65_535
_PORT_DIGITS = 5

_LOGGER = logging.getLogger(__name__)

_Record = member_record.MemberRecord


class Discovery:
    """Writes this node's address to the store and reads the other nodes'.

    The row holds only the location, service and address of the node, so a
    restart does not write it again. Nodes send all other facts over links.

    Each node reads once. Of nodes that start together, each one that finds no
    other row reads again after it has written its own, so that each node but
    the first writer finds an earlier one: all of them are connected, and learn
    of the others over links.

    Args:
        table: The store.
        members: Member table; discovered nodes are added as unconfirmed.
        clock: Source of time.
        rng: Source of jitter.
        is_discovery_reader: Returns whether this node reads on behalf of its
            region, whose other nodes get new members from it.
        is_linked: Returns whether this node has a link to another one.
        store_era: Returns the era of the store, which rises when it is restored
            from a copy; None before anything is known of the store.
    """

    def __init__(
        self,
        *,
        table: shared_table.SharedTable,
        members: member_table.MemberTable,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        is_discovery_reader: collections.abc.Callable[[], bool],
        is_linked: collections.abc.Callable[[], bool],
        store_era: collections.abc.Callable[[], int | None],
    ):
        self._table = table
        self._members = members
        self._clock = clock
        self._rng = rng
        self._is_discovery_reader = is_discovery_reader
        self._is_linked = is_linked
        self._store_era = store_era
        self._known_era: int | None = None
        self._rewrite_at_s: float | None = None
        self._dead_since_s: dict[str, float] = {}
        self._has_read = False
        self._next_read_s = clock.monotonic_s()

    async def run(self) -> None:
        """Runs discovery until cancelled."""
        delays = retry_backoff.RetryBackoff(
            rng=self._rng, base_s=FIRST_RETRY_S, cap_s=MAX_RETRY_S
        )
        while True:
            try:
                if self._is_read_due():
                    await self._refresh()
                if self._is_rewrite_due():
                    await self._write_again()
            except exceptions.PlatformError as error:
                _LOGGER.info(
                    "event=discovery-failed error=%s detail=%r",
                    error.code,
                    str(error),
                )
                await self._clock.sleep_s(FIRST_RETRY_S + delays.next_s())
            else:
                delays.reset()
                await self._clock.sleep_s(self._check_delay_s())

    async def unregister(self) -> None:
        """Deletes the own row, when the instance is shut down permanently.

        Raises:
            exceptions.PlatformError: The row may still exist.
        """
        own = self._members.own
        change = row_change.RowChange(deletes=((TABLE, own.node_id),))
        await self._table.commit(change)

    def _is_read_due(self) -> bool:
        if not self._has_read or not self._is_linked():
            return True
        is_due = self._clock.monotonic_s() >= self._next_read_s
        return is_due and self._is_discovery_reader()

    def _is_rewrite_due(self) -> bool:
        """Returns whether a restored store may have lost the own row."""
        now_s = self._clock.monotonic_s()
        era = self._store_era()
        if era != self._known_era:
            if self._known_era is not None:
                delay_s = self._rng.uniform(0.0, REWRITE_SPREAD_S)
                self._rewrite_at_s = now_s + delay_s
            self._known_era = era
        return self._rewrite_at_s is not None and now_s >= self._rewrite_at_s

    async def _write_again(self) -> None:
        own = self._members.own
        change = row_change.RowChange(
            expected=((TABLE, own.node_id, 0),),
            writes=((TABLE, own.node_id, _encode(own)),),
        )
        try:
            await self._table.commit(change)
        except exceptions.TransactionConflictError:
            _LOGGER.debug("event=node-row-kept era=%s", self._known_era)
        else:
            _LOGGER.info("event=node-row-written-again era=%s", self._known_era)
        self._rewrite_at_s = None

    def _check_delay_s(self) -> float:
        return CHECK_INTERVAL_S if self._is_linked() else LONE_READ_INTERVAL_S

    async def _refresh(self) -> None:
        page = await self._table.read(TABLE)
        own_value = _encode(self._members.own)
        own_id = self._members.own.node_id
        listed = {row.key: row for row in page.rows}
        if own_id not in listed or listed[own_id].value != own_value:
            await self._write(own_value)
            if not listed.keys() - {own_id}:
                # Nodes that started at the same time may be listed by now.
                page = await self._table.read(TABLE)
        self._merge_rows(page.rows)
        await self._reap(page.rows)
        self._has_read = True
        interval_s = READ_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        self._next_read_s = self._clock.monotonic_s() + interval_s

    async def _write(self, value: bytes) -> None:
        own_id = self._members.own.node_id
        await self._table.commit(
            row_change.RowChange(writes=((TABLE, own_id, value),))
        )

    def _merge_rows(self, rows: tuple[table_row.TableRow, ...]) -> None:
        discovered = []
        for row in rows:
            if self._members.get(row.key) is not None:
                continue
            record = _decode(row)
            if record is not None:
                discovered.append(record)
        if discovered:
            self._members.merge(discovered)

    async def _reap(self, rows: tuple[table_row.TableRow, ...]) -> None:
        """Deletes the rows of nodes that have been dead for `REAP_DELAY_S`."""
        now_s = self._clock.monotonic_s()
        dead = {record.node_id for record in self._members.tombstones()}
        for node_id in self._dead_since_s.keys() - dead:
            del self._dead_since_s[node_id]
        for row in rows:
            if row.key not in dead:
                continue
            dead_since_s = self._dead_since_s.setdefault(row.key, now_s)
            if now_s - dead_since_s >= REAP_DELAY_S:
                await self._delete(row)

    async def _delete(self, row: table_row.TableRow) -> None:
        change = row_change.RowChange(
            expected=((TABLE, row.key, row.revision),),
            deletes=((TABLE, row.key),),
        )
        try:
            await self._table.commit(change)
        except exceptions.TransactionConflictError:
            # Another node deleted the row, or its node has returned.
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
    """Returns an unconfirmed record; any record of the node supersedes it."""
    try:
        fields = json_document.load(row.value)
        if not isinstance(fields, dict):
            raise exceptions.DocumentError("expected a mapping")
        return _Record(
            node_id=row.key,
            incarnation=membership_service.UNCONFIRMED,
            status=member_status.MemberStatus.JOINING.value,
            data_centre=_text(fields, "data_centre"),
            region=_text(fields, "region"),
            service=_text(fields, "service"),
            version="",
            peer_address=_address(fields, "peer_address"),
            call_address="",
            admin_address="",
            slots=0,
        )
    except exceptions.DocumentError as error:
        _LOGGER.warning(
            "event=node-row-unreadable node=%s error=%s", row.key, error
        )
        return None


def _text(fields: dict[str, object], name: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value:
        raise exceptions.DocumentError(f"{name}: expected a text")
    return value


def _address(fields: dict[str, object], name: str) -> str:
    value = _text(fields, name)
    host, _, port = value.rpartition(":")
    is_port = port.isascii() and port.isdigit() and len(port) <= _PORT_DIGITS
    if not host or not is_port or not 0 < int(port) <= MAX_PORT:
        raise exceptions.DocumentError(f"{name}: expected host:port")
    return value
