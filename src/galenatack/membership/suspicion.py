"""Detects failed members."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.model import member_record
from galenatack.model import member_status

SUSPICION_TIMEOUT_S = 3.0
"""A suspect that does not refute within this time is declared dead."""

RECEIVED_EXTRA_S = 1.0
"""Extra timeout on nodes that received a suspicion from another node.

Usually the dead record of the node that raised the suspicion arrives before
that, which avoids flooding the same record again.
"""

GROUP_TIMEOUT_S = 8.0
"""A group to which no link exists for this long is suspected as a whole.

A single dead carrier is replaced sooner, after about 6 s: 2 s of silence, 3 s
of suspicion and a dial.
"""

_Record = member_record.MemberRecord
_Status = member_status.MemberStatus


class Suspicion:
    """Raises suspicions and declares suspects dead that do not refute.

    Members of the own data centre are suspected individually when the link to
    them breaks. Other data centres of the region, and other regions, form
    groups that monitor their own members. A group is suspected as a whole,
    once for each loss, when no link to it remains.

    Args:
        table: Member table.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        clock: clock_interface.Clock,
    ):
        self._table = table
        self._clock = clock
        self._suspected_s: dict[str, tuple[int, float]] = {}
        self._own_suspicions: set[str] = set()
        # The time is None once a group is suspected, until a link to it opens.
        self._last_link_s: dict[tuple[str, str], float | None] = {}
        table.subscribe(self._on_changed)

    def on_link_lost(self, node_id: str) -> tuple[_Record, ...]:
        """Suspects a node whose link broke; returns the changed records.

        A leaving node has announced its stop and is declared dead at once.
        """
        record = self._table.get(node_id)
        own = self._table.own
        if record is None or record.data_centre != own.data_centre:
            return ()
        if record.status == _Status.DEAD:
            return ()
        if record.status == _Status.LEAVING:
            return self._table.merge((_dead(record),))
        return self._suspect((record,))

    def expire(self) -> tuple[_Record, ...]:
        """Declares suspects dead that did not refute; returns their records."""
        now_s = self._clock.monotonic_s()
        dead = []
        for node_id, (incarnation, since_s) in self._suspected_s.items():
            extra_s = (
                0.0 if node_id in self._own_suspicions else RECEIVED_EXTRA_S
            )
            record = self._table.get(node_id)
            if record is None or record.incarnation != incarnation:
                continue
            if now_s - since_s >= SUSPICION_TIMEOUT_S + extra_s:
                dead.append(_dead(record))
        return self._table.merge(dead) if dead else ()

    def restart_timers(self) -> None:
        """Restarts the timeouts of all suspicions and groups.

        For use after this process was suspended, when received refutations
        may not have been read yet.
        """
        now_s = self._clock.monotonic_s()
        for node_id, (incarnation, _) in self._suspected_s.items():
            self._suspected_s[node_id] = (incarnation, now_s)
        for group, last_link_s in self._last_link_s.items():
            if last_link_s is not None:
                self._last_link_s[group] = now_s

    def check_groups(
        self, neighbours: collections.abc.Iterable[str]
    ) -> tuple[_Record, ...]:
        """Suspects groups without a link; returns the changed records.

        Args:
            neighbours: Nodes with an open overlay or carrier link.
        """
        now_s = self._clock.monotonic_s()
        for node_id in neighbours:
            record = self._table.get(node_id)
            if record is not None:
                self._last_link_s[self._group(record)] = now_s
        self._update_watched_groups(now_s)
        lost = {
            group
            for group, last_link_s in self._last_link_s.items()
            if last_link_s is not None
            and now_s - last_link_s >= GROUP_TIMEOUT_S
        }
        # The group is not suspected again until a link to it was open: its
        # members may refute over another path.
        for group in lost:
            self._last_link_s[group] = None
        if not lost:
            return ()
        return self._suspect(
            record
            for record in self._table.live()
            if self._group(record) in lost and record.status != _Status.SUSPECT
        )

    def _update_watched_groups(self, now_s: float) -> None:
        # A closed link is no evidence against a group to which this node no
        # longer has to keep links. A group to which no link ever opened is
        # suspected, too.
        watched = {
            self._group(self._table.get(node_id))
            for node_id in node_roles.carrier_peers(self._table)
        }
        for group in self._last_link_s.keys() - watched:
            del self._last_link_s[group]
        for group in watched - self._last_link_s.keys():
            self._last_link_s[group] = now_s

    def _group(self, record: _Record) -> tuple[str, str]:
        own = self._table.own
        if record.region != own.region:
            return ("region", record.region)
        return ("data-centre", record.data_centre)

    def _suspect(
        self, records: collections.abc.Iterable[_Record]
    ) -> tuple[_Record, ...]:
        own = self._table.own
        suspects = [
            _with_status(record, _Status.SUSPECT)
            for record in records
            if record.node_id != own.node_id
            and record.status != _Status.LEAVING
        ]
        self._own_suspicions.update(record.node_id for record in suspects)
        return self._table.merge(suspects) if suspects else ()

    def _on_changed(self, changed: tuple[_Record, ...]) -> None:
        now_s = self._clock.monotonic_s()
        for record in changed:
            if record.status != _Status.SUSPECT:
                self._suspected_s.pop(record.node_id, None)
                self._own_suspicions.discard(record.node_id)
                continue
            known = self._suspected_s.get(record.node_id)
            if known is None or known[0] != record.incarnation:
                self._suspected_s[record.node_id] = (record.incarnation, now_s)


def _dead(record: _Record) -> _Record:
    has_left = record.status == _Status.LEAVING
    return _with_status(record, _Status.DEAD)._replace(has_left=has_left)


def _with_status(record: _Record, status: _Status) -> _Record:
    return record._replace(status=status.value)
