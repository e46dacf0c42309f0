"""Counts the nodes that may use a share of the quotas."""

import collections.abc

from galenatack.interfaces import clock as clock_interface
from galenatack.model import member_record
from galenatack.model import member_status

KEPT_S = 600.0
"""Time for which a node counts that has gone without a word: it may be cut off
and still use its share, or have lent it to nodes that are cut off as well."""


class NodeCount:
    """Counts live nodes, and those that have gone without leaving.

    Args:
        clock: Source of time.
    """

    def __init__(self, *, clock: clock_interface.Clock):
        self._clock = clock
        self._seen_s: dict[str, float] = {}

    def update(
        self, records: collections.abc.Iterable[member_record.MemberRecord]
    ) -> None:
        """Takes the records of all live nodes; called regularly."""
        now_s = self._clock.monotonic_s()
        for record in records:
            if record.status == member_status.MemberStatus.LEAVING:
                self._seen_s.pop(record.node_id, None)
            else:
                self._seen_s[record.node_id] = now_s
        for node_id, seen_s in list(self._seen_s.items()):
            if now_s - seen_s > KEPT_S:
                del self._seen_s[node_id]

    @property
    def count(self) -> int:
        """Number of nodes; 0 before the first update."""
        return len(self._seen_s)
