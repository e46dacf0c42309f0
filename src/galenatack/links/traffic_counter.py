"""Counts frames by type, direction and region boundary."""

import collections

from galenatack.links import traffic_count

SENT = "sent"
RECEIVED = "received"

Traffic = dict[traffic_count.TrafficKey, traffic_count.TrafficCount]


class TrafficCounter:
    """Frame counters of one node.

    Args:
        own_region: Region of this node.
    """

    def __init__(self, *, own_region: str):
        self._own_region = own_region
        self._counts: dict[tuple[type, str, bool], list[int]] = (
            collections.defaultdict(lambda: [0, 0])
        )

    def count_sent(self, kind: type, size_bytes: int, region: str) -> None:
        """Counts a frame sent to a peer in `region`."""
        self._count(kind, SENT, size_bytes, region)

    def count_received(self, kind: type, size_bytes: int, region: str) -> None:
        """Counts a frame received from a peer in `region`."""
        self._count(kind, RECEIVED, size_bytes, region)

    def traffic(self) -> Traffic:
        """Returns all totals."""
        return {
            traffic_count.TrafficKey(kind.__name__, direction, crosses): (
                traffic_count.TrafficCount(messages, payload_bytes)
            )
            for (kind, direction, crosses), (
                messages,
                payload_bytes,
            ) in self._counts.items()
        }

    def _count(
        self, kind: type, direction: str, size_bytes: int, region: str
    ) -> None:
        entry = self._counts[kind, direction, region != self._own_region]
        entry[0] += 1
        entry[1] += size_bytes
