"""The member records that a node knows."""

import collections
import collections.abc
import hashlib
import typing

from galenatack.interfaces import clock as clock_interface
from galenatack.model import member_record
from galenatack.model import member_status

Record = member_record.MemberRecord
T = typing.TypeVar("T")
Callback = collections.abc.Callable[[tuple[Record, ...]], None]

HIDE_DEAD_AFTER_S = 600.0
"""Dead records are hidden after this time."""

TOMBSTONE_TTL_S = 86_400.0
"""Dead records are kept this long to supersede older ones."""

MAX_LAST_LIVE_RECORDS = 4
"""Records kept for each data centre, to reconnect to it after all its members
are dead."""

_RANKS = {
    status: rank for rank, status in enumerate(member_status.MemberStatus)
}


_HAS_LEFT = Record._fields.index("has_left")


def precedence(record: Record) -> tuple[object, ...]:
    """Returns the key by which records of one node are compared.

    The record itself is the last element, which makes merging commutative
    even if a faulty peer sends different records with equal numbers.
    """
    rank = _RANKS.get(record.status, -1)
    return (record.incarnation, rank, record.beat, record)


def _hash64(record: Record) -> int:
    # Only dead records have `has_left`, and these are not hashed. Without it,
    # digests equal those of nodes of a release that does not know it.
    fields = list(record._replace(running_seq=0))
    del fields[_HAS_LEFT]
    text = repr(tuple(fields))
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest(), "big")


def _is_dead(record: Record) -> bool:
    return record.status == member_status.MemberStatus.DEAD


class MemberTable:
    """Member records by node; merging is commutative and idempotent.

    Args:
        own: Record of this node.
        clock: Clock for the expiry of dead records.
    """

    def __init__(self, *, own: Record, clock: clock_interface.Clock):
        self._own_id = own.node_id
        self._clock = clock
        self._records: dict[str, Record] = {}
        self._died_s: dict[str, float] = {}
        self._digest = 0
        self._live: tuple[Record, ...] | None = None
        self._cache: dict[collections.abc.Hashable, typing.Any] = {}
        self._callbacks: list[Callback] = []
        self._last_live_records: dict[str, dict[str, Record]] = (
            collections.defaultdict(dict)
        )
        self._store(own)

    @property
    def own(self) -> Record:
        """Record of this node."""
        return self._records[self._own_id]

    def get(self, node_id: str) -> Record | None:
        """Returns the record of a node, or None."""
        record = self._records.get(node_id)
        return None if record is None or self._is_hidden(record) else record

    def records(self) -> tuple[Record, ...]:
        """Returns all records that are not hidden, by node id."""
        return tuple(
            record
            for _, record in sorted(self._records.items())
            if not self._is_hidden(record)
        )

    def live(self) -> tuple[Record, ...]:
        """Returns all records that are not dead, by node id."""
        if self._live is None:
            self._live = tuple(
                record
                for _, record in sorted(self._records.items())
                if not _is_dead(record)
            )
        return self._live

    def tombstones(self) -> tuple[Record, ...]:
        """Returns all dead records, including hidden ones, by node id."""
        return tuple(self._records[name] for name in sorted(self._died_s))

    def digest(self) -> int:
        """Returns a 64-bit digest of the live records.

        Dead records are not included, because each node expires them at a
        different time. The running seq is not included either: see
        `update_own`.
        """
        return self._digest

    def cached(
        self,
        key: collections.abc.Hashable,
        compute: collections.abc.Callable[[], T],
    ) -> T:
        """Returns `compute()`, cached until a record changes.

        Ranking thousands of nodes on each tick would use several percent of a
        core.
        """
        if key not in self._cache:
            self._cache[key] = compute()
        return self._cache[key]

    def last_live_records(self, data_centre: str) -> tuple[Record, ...]:
        """Returns the latest live records of a data centre, newest last."""
        return tuple(self._last_live_records[data_centre].values())

    def data_centres(self) -> frozenset[str]:
        """Returns the data centres that had a live member at any time."""
        return frozenset(self._last_live_records)

    def subscribe(self, callback: Callback) -> None:
        """Registers a callback that gets the changed records."""
        self._callbacks.append(callback)

    def update_own(self, **changes: object) -> Record:
        """Changes fields of the own record and returns it.

        A change of the running seq alone is not flooded: 4,400 nodes at 2,300
        changes a day would flood 117 records a second. It is sent with the
        next other change and in each `Hello` and pulled table.
        """
        if changes.keys() == {"running_seq"}:
            record = self.own._replace(**changes)
            self._records[self._own_id] = record
            self._live = None
            return record
        record = self.own._replace(beat=self.own.beat + 1, **changes)
        self._store(record)
        self._notify((record,))
        return record

    def merge(
        self, records: collections.abc.Iterable[Record]
    ) -> tuple[Record, ...]:
        """Stores the records that supersede known ones.

        A superseding record of this node itself is refuted with a higher
        incarnation.

        Returns:
            The changed records; the own record is included if it was refuted.
        """
        changed: dict[str, Record] = {}
        for record in records:
            winner = self._winner(record)
            if winner is not None:
                self._store(winner)
                changed[winner.node_id] = winner
        result = tuple(changed.values())
        if result:
            self._notify(result)
        return result

    def newer_than(
        self, records: collections.abc.Iterable[Record]
    ) -> tuple[Record, ...]:
        """Returns the known records that supersede the given ones."""
        known = (
            (record, self._records.get(record.node_id)) for record in records
        )
        return tuple(
            newer
            for record, newer in known
            if newer is not None and precedence(newer) > precedence(record)
        )

    def purge_tombstones(self) -> None:
        """Removes expired tombstones."""
        now_s = self._clock.monotonic_s()
        for node_id, died_s in list(self._died_s.items()):
            if now_s - died_s >= TOMBSTONE_TTL_S:
                del self._died_s[node_id]
                del self._records[node_id]

    def _winner(self, record: Record) -> Record | None:
        known = self._records.get(record.node_id)
        if known is not None and precedence(record) <= precedence(known):
            return None
        if record.node_id == self._own_id:
            return self.own._replace(incarnation=record.incarnation + 1)
        return record

    def _store(self, record: Record) -> None:
        known = self._records.get(record.node_id)
        if known is not None and not _is_dead(known):
            self._digest ^= _hash64(known)
        self._records[record.node_id] = record
        self._live = None
        self._cache.clear()
        if _is_dead(record):
            now_s = self._clock.monotonic_s()
            self._died_s.setdefault(record.node_id, now_s)
            return
        self._died_s.pop(record.node_id, None)
        self._digest ^= _hash64(record)
        self._store_last_live(record)

    def _store_last_live(self, record: Record) -> None:
        group = self._last_live_records[record.data_centre]
        group.pop(record.node_id, None)
        group[record.node_id] = record
        if len(group) > MAX_LAST_LIVE_RECORDS:
            del group[next(iter(group))]

    def _is_hidden(self, record: Record) -> bool:
        died_s = self._died_s.get(record.node_id)
        if died_s is None:
            return False
        return self._clock.monotonic_s() - died_s >= HIDE_DEAD_AFTER_S

    def _notify(self, changed: tuple[Record, ...]) -> None:
        for callback in self._callbacks:
            callback(changed)
