"""Counts the nodes that may use a share of the quotas."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.model import member_record
from galenatack.model import member_status

KEPT_S = 600.0
"""Time for which a node counts that has gone without a word: it may be cut off
and still use its share, or have lent it to nodes that are cut off as well."""

_Status = member_status.MemberStatus


class NodeCount:
    """Counts live nodes, and those that have gone without leaving.

    A node that starts learns of the latter from the dead records of others. On
    a side that is cut off it would count this side only, and all its nodes
    would do so once each of them has restarted.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._seen_s: dict[str, float] = {}
        # Nodes that have left, or whose time counts from before.
        self._ended: set[str] = set()

    def update(
        self, records: collections.abc.Iterable[member_record.MemberRecord]
    ) -> None:
        """Takes the records of all nodes, dead ones too; called regularly."""
        now_s = self._clock.monotonic_s()
        ended = set()
        for record in records:
            node_id = record.node_id
            has_left = record.status == _Status.LEAVING or record.has_left
            if has_left:
                self._seen_s.pop(node_id, None)
            elif record.status != _Status.DEAD:
                self._seen_s[node_id] = now_s
                continue
            elif node_id not in self._ended:
                self._seen_s.setdefault(node_id, now_s)
            ended.add(node_id)
        self._ended = ended
        for node_id, seen_s in list(self._seen_s.items()):
            if now_s - seen_s > KEPT_S:
                del self._seen_s[node_id]

    @property
    def count(self) -> int:
        """Number of nodes; 0 before the first update."""
        return len(self._seen_s)
