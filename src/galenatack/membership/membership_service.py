"""Spreads member records and keeps tables equal."""

import collections
import collections.abc
import logging
import typing

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import event_sink
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.membership import member_table
from galenatack.membership import suspicion
from galenatack.messages import heartbeat
from galenatack.messages import hello
from galenatack.messages import members
from galenatack.messages import pull_members
from galenatack.model import member_record
from galenatack.model import member_status

UNCONFIRMED = 0
"""Incarnation of a record that is not the node's own word."""

TICK_S = 0.25

STALL_S = 1.0
"""A tick this late means that this process stood still."""

PAGE_RECORDS = 500
"""Records in a frame; about 100 KB, far below the limit of a frame."""

PULL_FIRST_S = 2.0
PULL_LONGEST_S = 60.0
"""Bounds of the time between pulls from one peer.

It doubles while the digests differ: after a partition they do until all
refutations have arrived, and each pull moves a whole table.
"""

PULL_TIMEOUT_S = 5.0

MAX_REMEMBERED_ACCUSATIONS = 16_384

_Record = member_record.MemberRecord
_Status = member_status.MemberStatus
_ACCUSING = frozenset({_Status.SUSPECT, _Status.DEAD})

_LOGGER = logging.getLogger(__name__)

OnHeartbeat = collections.abc.Callable[
    [str, heartbeat.Heartbeat], collections.abc.Awaitable[None]
]


class MembershipService:
    """Joins, leaves, floods changes and repairs by digest.

    Args:
        table: Members.
        peers: Links; `on_lost` of the implementation feeds `link_lost`.
        clock: Clock.
        rng: Jitter.
        events: Gets one event for each change of a status in the own data
            centre, and counts for the others.
        on_heartbeat: Called for each heartbeat of a peer.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        peers: peer_network.PeerNetwork,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        events: event_sink.EventSink,
        on_heartbeat: OnHeartbeat | None = None,
    ):
        self._table = table
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._events = events
        self._on_heartbeat = on_heartbeat
        self._suspicion = suspicion.Suspicion(table=table, clock=clock)
        self._outgoing: dict[str, tuple[_Record, str | None]] = {}
        self._lost: list[str] = []
        self._pulls: dict[str, tuple[float, float]] = {}
        self._accused: collections.OrderedDict[tuple[str, int, str], None] = (
            collections.OrderedDict()
        )
        self._statuses: dict[str, str] = {}
        self._source: str | None = None
        self._ticked_s = clock.monotonic_s()
        table.subscribe(self._on_changed)
        peers.on(hello.Hello, self._on_hello)
        peers.on(heartbeat.Heartbeat, self._on_beat)
        peers.on(members.Members, self._on_members)
        peers.on(pull_members.PullMembers, self._on_pull)

    def link_lost(self, node_id: str) -> None:
        """Tells that the last kept link to a node broke."""
        self._lost.append(node_id)

    def start_serving(self) -> None:
        """Announces that the target takes calls."""
        self._table.update_own(status=_Status.SERVING.value)

    async def leave(self) -> None:
        """Announces that this node stops; returns once that is sent."""
        self._table.update_own(status=_Status.LEAVING.value)
        await self._flood()

    async def run(self) -> None:
        """Works until cancelled."""
        while True:
            self._check()
            await self._flood()
            await self._clock.sleep_s(TICK_S)

    def _check(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._ticked_s > TICK_S + STALL_S:
            self._suspicion.restart_timers()
        self._ticked_s = now_s
        lost, self._lost = self._lost, []
        for node_id in lost:
            self._suspicion.on_lost(node_id)
        self._suspicion.expire()
        self._suspicion.check_groups(self._peers.neighbours())
        self._table.drop_dead()

    def _on_changed(self, changed: tuple[_Record, ...]) -> None:
        data_centre = self._table.own.data_centre
        elsewhere: collections.Counter[tuple[str, str]] = collections.Counter()
        for record in changed:
            # A node that was only found in the store tells of itself once it
            # is linked; everybody reads the same store.
            if record.incarnation != UNCONFIRMED:
                self._outgoing[record.node_id] = (record, self._source)
            if self._statuses.get(record.node_id) == record.status:
                continue
            self._statuses[record.node_id] = record.status
            if record.data_centre != data_centre:
                elsewhere[record.data_centre, record.status] += 1
                continue
            self._events.record(
                "member",
                member=record.node_id,
                incarnation=record.incarnation,
                status=record.status,
            )
        # One event for each of thousands of members would push all others
        # out of the time line.
        for (name, status), count in elsewhere.items():
            self._events.record(
                "members", data_centre=name, status=status, count=count
            )

    def _merge(self, sender: str, records: tuple[_Record, ...]) -> None:
        # The callback of the table learns from whom a change came, so that
        # it is not sent back there.
        self._source = sender
        try:
            self._table.merge(records)
        finally:
            self._source = None

    async def _flood(self) -> None:
        outgoing, self._outgoing = self._outgoing, {}
        by_source: dict[str | None, list[_Record]] = collections.defaultdict(
            list
        )
        for record, source in outgoing.values():
            by_source[source].append(record)
        for source, records in by_source.items():
            for page in _pages(tuple(records)):
                await self._peers.broadcast(
                    members.Members(page), exclude=source
                )

    async def _on_hello(self, sender: str, message: typing.Any) -> None:
        await self._take(sender, (message.record,))

    async def _on_members(self, sender: str, message: typing.Any) -> None:
        await self._accuse(sender, message.accusations)
        await self._take(sender, message.records)
        await self._flood()

    async def _take(self, sender: str, records: tuple[_Record, ...]) -> None:
        accusing = []
        plain = []
        for record in records:
            is_accusation = self._is_accusation(sender, record)
            (accusing if is_accusation else plain).append(record)
        await self._accuse(sender, tuple(accusing))
        stale = self._table.newer_than(plain)
        self._merge(sender, tuple(plain))
        if stale:
            await self._send(sender, members.Members(stale))

    def _is_accusation(self, sender: str, record: _Record) -> bool:
        own = self._table.own
        known = self._table.get(record.node_id)
        teller = self._table.get(sender)
        return (
            record.status in _ACCUSING
            and record.data_centre == own.data_centre
            and record.node_id != own.node_id
            and known is not None
            and known.status not in _ACCUSING
            and teller is not None
            and teller.data_centre != own.data_centre
        )

    async def _accuse(self, sender: str, records: tuple[_Record, ...]) -> None:
        own_id = self._table.own.node_id
        fresh = []
        for record in records:
            key = (record.node_id, record.incarnation, record.status)
            if key in self._accused:
                continue
            self._accused[key] = None
            fresh.append(record)
        while len(self._accused) > MAX_REMEMBERED_ACCUSATIONS:
            self._accused.popitem(last=False)
        self._merge(sender, tuple(r for r in fresh if r.node_id == own_id))
        others = tuple(r for r in fresh if r.node_id != own_id)
        for page in _pages(others):
            await self._peers.broadcast(
                members.Members((), page), exclude=sender
            )

    async def _on_beat(self, sender: str, message: typing.Any) -> None:
        if message.member_digest == self._table.digest():
            self._pulls.pop(sender, None)
        elif self._is_repair_peer(sender):
            await self._pull(sender, message.member_digest)
        if self._on_heartbeat is not None:
            await self._on_heartbeat(sender, message)

    def _is_repair_peer(self, sender: str) -> bool:
        """Tells whether this node repairs its table from a peer.

        A node has links for calls to many others; one that asked each of them
        after a change would move dozens of whole tables.
        """
        neighbours = self._peers.neighbours()
        return sender in neighbours or not neighbours

    async def _pull(self, sender: str, told_digest: int) -> None:
        now_s = self._clock.monotonic_s()
        next_s, pause_s = self._pulls.get(sender, (now_s, PULL_FIRST_S))
        if now_s < next_s:
            return
        longer_s = min(2 * pause_s, PULL_LONGEST_S)
        self._pulls[sender] = (now_s + pause_s, longer_s)
        # A flood that is under way makes digests differ for a moment. It is
        # given time to arrive before a whole table is moved.
        await self._clock.sleep_s(self._rng.uniform(0.2, 0.8))
        digest = self._table.digest()
        if digest == told_digest:
            return
        try:
            answer = await self._peers.request(
                sender,
                pull_members.PullMembers(digest),
                timeout_s=PULL_TIMEOUT_S,
            )
        except exceptions.PeerError as error:
            _LOGGER.debug("event=pull-failed peer=%s error=%s", sender, error)
            return
        if isinstance(answer, members.Members):
            await self._on_members(sender, answer)

    async def _on_pull(
        self, sender: str, message: typing.Any
    ) -> members.Members:
        if message.member_digest == self._table.digest():
            return members.Members(())
        *pages, last = _pages(self._table.records()) or [()]
        for page in pages:
            await self._send(sender, members.Members(page))
        return members.Members(last)

    async def _send(self, node_id: str, message: members.Members) -> None:
        try:
            await self._peers.send(node_id, message)
        except exceptions.PeerError as error:
            _LOGGER.debug("event=send-failed peer=%s error=%s", node_id, error)


def _pages(records: tuple[_Record, ...]) -> list[tuple[_Record, ...]]:
    return [
        records[start : start + PAGE_RECORDS]
        for start in range(0, len(records), PAGE_RECORDS)
    ]
