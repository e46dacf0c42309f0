"""Opens links to other nodes before calls need them."""

import zlib

from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.links import peer_network
from galenatack.membership import member_table
from galenatack.model import member_record
from galenatack.placement import target_placement

TICK_S = 0.25
MIN_PAUSE_S = 0.25
MAX_PAUSE_S = 1.5
"""Bounds of the pause between dials. After a partition, calls resume within
about the maximum."""

DIAL_YIELD_S = 0.3
"""The node with the higher id waits this long for the other one to dial, which
keeps two nodes that need each other from opening two links."""

LINKS_PER_SERVICE = 10
"""Targets of one service that a node keeps links to, the nearest first. With
three choices in four data centres, more links do not balance the load better,
and each link costs two heartbeats a second."""

LINKS_TO_OTHER_REGIONS = 3
"""Targets of one service in other regions that a node keeps links to. They are
a last resort, and the heartbeats cross a link that is billed by volume."""

_Record = member_record.MemberRecord


class LinkWarmer:
    """Dials the nearest targets of each service.

    Without open links, a call could spend all its time on dialling a node that
    is gone.

    Args:
        members: Members of the fleet.
        peers: Links to other nodes.
        placement: Readmits a target whose link is open again.
        clock: Source of time.
        rng: Source of jitter.
    """

    def __init__(
        self,
        *,
        members: member_table.MemberTable,
        peers: peer_network.WebsocketPeers,
        placement: target_placement.TargetPlacement,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
    ):
        self._members = members
        self._peers = peers
        self._placement = placement
        self._clock = clock
        self._rng = rng
        self._next_dials: dict[str, tuple[float, float]] = {}
        self._linked: set[str] = set()

    async def run(self) -> None:
        """Opens links until cancelled."""
        while True:
            self._tick()
            await self._clock.sleep_s(TICK_S)

    def _tick(self) -> None:
        now_s = self._clock.monotonic_s()
        for record in self._wanted():
            if self._peers.is_connected(record.node_id):
                self._record_open(record)
            else:
                self._linked.discard(record.node_id)
                self._dial(record, now_s)

    def _wanted(self) -> tuple[_Record, ...]:
        return self._members.cached("wanted-links", self._find_wanted)

    def _find_wanted(self) -> tuple[_Record, ...]:
        own = self._members.own
        nearest: dict[str, list[_Record]] = {}
        for record in self._members.live():
            if record.node_id != own.node_id and record.target_id:
                nearest.setdefault(record.service, []).append(record)
        wanted = []
        for records in nearest.values():
            records.sort(
                key=lambda record: (
                    record.data_centre != own.data_centre,
                    record.region != own.region,
                    # Spreads the links over nodes at equal distance.
                    _preference(own.node_id, record.node_id),
                )
            )
            near = [r for r in records if r.region == own.region]
            far = [r for r in records if r.region != own.region]
            vacant = LINKS_PER_SERVICE - len(near[:LINKS_PER_SERVICE])
            wanted.extend(near[:LINKS_PER_SERVICE])
            wanted.extend(far[: min(vacant, LINKS_TO_OTHER_REGIONS)])
        return tuple(wanted)

    def _record_open(self, record: _Record) -> None:
        if record.node_id in self._linked:
            return
        self._linked.add(record.node_id)
        self._next_dials.pop(record.node_id, None)
        self._placement.view(record).readmit()

    def _dial(self, record: _Record, now_s: float) -> None:
        schedule = self._next_dials.get(record.node_id)
        if schedule is None:
            is_first = self._members.own.node_id < record.node_id
            due_s = now_s if is_first else now_s + DIAL_YIELD_S
            schedule = self._next_dials[record.node_id] = (due_s, MIN_PAUSE_S)
        due_s, pause_s = schedule
        if now_s < due_s:
            return
        wait_s = pause_s * self._rng.uniform(0.7, 1.3)
        longer_s = min(MAX_PAUSE_S, 2 * pause_s)
        self._next_dials[record.node_id] = (now_s + wait_s, longer_s)
        self._peers.open_soon(record.node_id)


def _preference(own_id: str, node_id: str) -> int:
    """Returns a stable sort key for a pair of nodes."""
    return zlib.crc32(f"{own_id}/{node_id}".encode())
