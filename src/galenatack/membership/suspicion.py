"""Finds members that are gone."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.model import member_record
from galenatack.model import member_status

SUSPECT_S = 3.0
"""A suspect that does not refute for this long is dead."""

OTHERS_EXTRA_S = 1.0
"""Nodes that did not raise the suspicion wait this much longer.

Usually the record of the one that raised it reaches them before that, which
saves them flooding the same record.
"""

GROUP_LOST_S = 8.0
"""A group without any link for this long is cut off as a whole.

One dead carrier is replaced after about 6 s: 2 s of silence, 3 s of suspicion
and a dial.
"""

_Record = member_record.MemberRecord
_Status = member_status.MemberStatus


class Suspicion:
    """Raises suspicions and ends them.

    Members of the own data centre are suspected one by one when a link to
    them breaks. Other data centres of the region, and other regions, are
    suspected as a whole, once for each loss, when no link leads there any
    more; they watch their own members themselves.

    Args:
        table: Members.
        clock: Clock.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        clock: clock_interface.Clock,
    ):
        self._table = table
        self._clock = clock
        self._since_s: dict[str, tuple[int, float]] = {}
        self._raised: set[str] = set()
        self._reached_s: dict[tuple[str, str], float] = {}
        table.subscribe(self._on_changed)

    def on_lost(self, node_id: str) -> tuple[_Record, ...]:
        """Suspects a node whose link broke; returns the changed records.

        A leaving node said that it would go, so it is dead at once.
        """
        record = self._table.get(node_id)
        own = self._table.own
        if record is None or record.data_centre != own.data_centre:
            return ()
        if record.status == _Status.DEAD:
            return ()
        if record.status == _Status.LEAVING:
            return self._table.merge((_with(record, _Status.DEAD),))
        return self._raise((record,))

    def expire(self) -> tuple[_Record, ...]:
        """Ends suspicions that were not refuted; returns the dead."""
        now_s = self._clock.monotonic_s()
        dead = []
        for node_id, (incarnation, since_s) in self._since_s.items():
            extra_s = 0.0 if node_id in self._raised else OTHERS_EXTRA_S
            record = self._table.get(node_id)
            if record is None or record.incarnation != incarnation:
                continue
            if now_s - since_s >= SUSPECT_S + extra_s:
                dead.append(_with(record, _Status.DEAD))
        return self._table.merge(dead) if dead else ()

    def restart_timers(self) -> None:
        """Gives all suspects their whole time again.

        For use after this process stood still: refutations may wait unread.
        """
        now_s = self._clock.monotonic_s()
        for node_id, (incarnation, _) in self._since_s.items():
            self._since_s[node_id] = (incarnation, now_s)
        for group in self._reached_s:
            self._reached_s[group] = now_s

    def check_groups(
        self, neighbours: collections.abc.Iterable[str]
    ) -> tuple[_Record, ...]:
        """Suspects groups that no link reaches; returns the changed records.

        Args:
            neighbours: Nodes with an open kept link.
        """
        now_s = self._clock.monotonic_s()
        for node_id in neighbours:
            record = self._table.get(node_id)
            if record is not None:
                self._reached_s[self._group(record)] = now_s
        self._forget_unwatched()
        lost = {
            group
            for group, reached_s in self._reached_s.items()
            if now_s - reached_s >= GROUP_LOST_S
        }
        # Forgetting the group keeps it from being suspected again before a
        # link has led there: its members may refute over another path.
        for group in lost:
            del self._reached_s[group]
        if not lost:
            return ()
        return self._raise(
            record
            for record in self._table.live()
            if self._group(record) in lost and record.status != _Status.SUSPECT
        )

    def _forget_unwatched(self) -> None:
        # A link that this node no longer has to keep says nothing about the
        # other side when it is gone.
        epoch = node_roles.epoch(self._clock.wall_ms())
        watched = {
            self._group(self._table.get(node_id))
            for node_id in node_roles.carrier_peers(self._table, epoch)
        }
        for group in self._reached_s.keys() - watched:
            del self._reached_s[group]

    def _group(self, record: _Record) -> tuple[str, str]:
        own = self._table.own
        if record.region != own.region:
            return ("region", record.region)
        return ("data-centre", record.data_centre)

    def _raise(
        self, records: collections.abc.Iterable[_Record]
    ) -> tuple[_Record, ...]:
        own = self._table.own
        suspects = [
            _with(record, _Status.SUSPECT)
            for record in records
            if record.node_id != own.node_id
            and record.status != _Status.LEAVING
        ]
        self._raised.update(record.node_id for record in suspects)
        return self._table.merge(suspects) if suspects else ()

    def _on_changed(self, changed: tuple[_Record, ...]) -> None:
        now_s = self._clock.monotonic_s()
        for record in changed:
            if record.status != _Status.SUSPECT:
                self._since_s.pop(record.node_id, None)
                self._raised.discard(record.node_id)
                continue
            known = self._since_s.get(record.node_id)
            if known is None or known[0] != record.incarnation:
                self._since_s[record.node_id] = (record.incarnation, now_s)


def _with(record: _Record, status: _Status) -> _Record:
    return record._replace(status=status.value)
