"""Floods member records and repairs differing member tables."""

import collections
import collections.abc
import logging
import typing

import anyio

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
"""Incarnation of a record that does not come from the node itself."""

TICK_S = 0.25

STALL_S = 1.0
"""A tick this late means that this process was suspended."""

PAGE_RECORDS = 500
"""Records in one message; about 100 KB, far below the frame limit."""

MIN_PULL_INTERVAL_S = 2.0
MAX_PULL_INTERVAL_S = 60.0
"""Bounds of the interval between pulls from one peer.

The interval doubles while the digests differ. After a partition they differ
until all refutations have arrived, and each pull transfers a whole table.
"""

PULL_TIMEOUT_S = 5.0

MAX_SEEN_ACCUSATIONS = 16_384

MAX_FORMER_RECORDS = 512
"""Records of runs before a restart that are kept until the restarted node is a
neighbour. A node has few neighbours, and each of them sends the record."""

_Record = member_record.MemberRecord
_Status = member_status.MemberStatus
_ACCUSING_STATUSES = frozenset({_Status.SUSPECT, _Status.DEAD})

_LOGGER = logging.getLogger(__name__)

OnFormerRecord = collections.abc.Callable[[member_record.MemberRecord], None]
OnHeartbeat = collections.abc.Callable[
    [str, heartbeat.Heartbeat], collections.abc.Awaitable[None]
]


class MembershipService:
    """Joins and leaves, floods changes and repairs the table by anti-entropy.

    Args:
        table: Member table.
        peers: Links to other nodes; the `on_lost` callback of the
            implementation must call `on_link_lost`.
        clock: Source of time.
        rng: Source of jitter.
        events: Records one event for each change of a status in the own data
            centre, and counts of changes for other data centres.
        on_heartbeat: Called for each heartbeat of a peer.
        on_former_record: Called with the record of a previous run of this
            node that a peer knows.
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
        on_former_record: OnFormerRecord | None = None,
    ):
        self._table = table
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._events = events
        self._heartbeat_callback = on_heartbeat
        self._former_record_callback = on_former_record
        self._suspicion = suspicion.Suspicion(table=table, clock=clock)
        self._outgoing: dict[str, tuple[_Record, str | None]] = {}
        self._lost_links: list[str] = []
        self._pulls: dict[str, tuple[float, float]] = {}
        self._seen_accusations: collections.OrderedDict[
            tuple[str, int, str], None
        ] = collections.OrderedDict()
        self._statuses: dict[str, str] = {}
        self._merge_source: str | None = None
        self._has_pulled = False
        self._formers: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._ticked_s = clock.monotonic_s()
        table.subscribe(self._on_changed)
        peers.on(hello.Hello, self._on_hello)
        peers.on(heartbeat.Heartbeat, self._on_heartbeat)
        peers.on(members.Members, self._on_members)
        peers.on(pull_members.PullMembers, self._on_pull)

    def on_link_lost(self, node_id: str) -> None:
        """Records that the last overlay or carrier link to a node broke."""
        self._lost_links.append(node_id)

    def start_serving(self) -> None:
        """Announces that the target accepts calls."""
        self._table.update_own(status=_Status.SERVING.value)

    async def leave(self) -> None:
        """Announces that this node stops; returns once this has been sent."""
        self._table.update_own(status=_Status.LEAVING.value)
        await self.flood()

    async def run(self) -> None:
        """Runs failure detection and flooding until cancelled."""
        while True:
            self._check_timeouts()
            await self.flood()
            await self._clock.sleep_s(TICK_S)

    def _check_timeouts(self) -> None:
        now_s = self._clock.monotonic_s()
        if now_s - self._ticked_s > TICK_S + STALL_S:
            self._suspicion.restart_timers()
        self._ticked_s = now_s
        lost, self._lost_links = self._lost_links, []
        for node_id in lost:
            self._suspicion.on_link_lost(node_id)
        self._suspicion.expire()
        self._suspicion.check_groups(self._peers.neighbours())
        self._table.purge_tombstones()

    def _on_changed(self, changed: tuple[_Record, ...]) -> None:
        data_centre = self._table.own.data_centre
        elsewhere: collections.Counter[tuple[str, str]] = collections.Counter()
        for record in changed:
            # Unconfirmed records are not flooded: all data centres read the
            # same store, and a node sends its own record once it is linked.
            if record.incarnation != UNCONFIRMED:
                self._outgoing[record.node_id] = (record, self._merge_source)
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
        # One event for each of thousands of members would evict all other
        # events from the time line.
        for (name, status), count in elsewhere.items():
            self._events.record(
                "members", data_centre=name, status=status, count=count
            )

    def _merge(self, sender: str, records: tuple[_Record, ...]) -> None:
        # Read by the callback of the table, so that a change is not sent back
        # to its sender.
        self._merge_source = sender
        try:
            self._table.merge(records)
        finally:
            self._merge_source = None

    async def flood(self) -> None:
        """Sends the records that changed since the last call."""
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
        await self._receive_records(sender, (message.record,))
        await self._send_former(sender)

    async def _on_members(
        self, sender: str, message: typing.Any
    ) -> members.Members:
        """Merges records; the reply to a request confirms that."""
        await self._handle_accusations(sender, message.accusations)
        await self._receive_records(sender, message.records)
        await self.flood()
        return members.Members(())

    async def _receive_records(
        self, sender: str, records: tuple[_Record, ...]
    ) -> None:
        accusing = []
        plain = []
        for record in records:
            self._compare_runs(record)
            is_accusation = self._is_accusation(sender, record)
            (accusing if is_accusation else plain).append(record)
        await self._handle_accusations(sender, tuple(accusing))
        stale = self._table.newer_than(plain)
        self._merge(sender, tuple(plain))
        if stale:
            await self._send(sender, members.Members(stale))

    def _compare_runs(self, record: _Record) -> None:
        """Keeps or applies the record of a run before a restart.

        A restarted node has forgotten a target that was leaving.
        """
        if _is_former(record, self._table.own):
            if self._former_record_callback is not None:
                self._former_record_callback(record)
            return
        known = self._table.get(record.node_id)
        if known is None or known.incarnation >= record.incarnation:
            return
        if _is_former(known, record):
            self._formers[record.node_id] = known
            while len(self._formers) > MAX_FORMER_RECORDS:
                self._formers.popitem(last=False)

    async def _send_former(self, node_id: str) -> None:
        """Sends a restarted neighbour the record of the run before."""
        if node_id in self._formers and node_id in self._peers.neighbours():
            former = self._formers.pop(node_id)
            await self._send(node_id, members.Members((former,)))

    def _is_accusation(self, sender: str, record: _Record) -> bool:
        own = self._table.own
        known = self._table.get(record.node_id)
        sender_record = self._table.get(sender)
        return (
            record.status in _ACCUSING_STATUSES
            and record.data_centre == own.data_centre
            and record.node_id != own.node_id
            and known is not None
            and known.status not in _ACCUSING_STATUSES
            and sender_record is not None
            and sender_record.data_centre != own.data_centre
        )

    async def _handle_accusations(
        self, sender: str, records: tuple[_Record, ...]
    ) -> None:
        own_id = self._table.own.node_id
        new_records = []
        for record in records:
            key = (record.node_id, record.incarnation, record.status)
            if key in self._seen_accusations:
                continue
            self._seen_accusations[key] = None
            new_records.append(record)
        while len(self._seen_accusations) > MAX_SEEN_ACCUSATIONS:
            self._seen_accusations.popitem(last=False)
        self._merge(
            sender, tuple(r for r in new_records if r.node_id == own_id)
        )
        others = tuple(r for r in new_records if r.node_id != own_id)
        for page in _pages(others):
            await self._peers.broadcast(
                members.Members((), page), exclude=sender
            )

    async def _on_heartbeat(self, sender: str, message: typing.Any) -> None:
        digest = message.member_digest
        if digest == self._table.digest():
            self._pulls.pop(sender, None)
        elif self._is_repair_peer(sender):
            # A pull waits, and the rest of the heartbeat would be out of date
            # by then.
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._handle_heartbeat, sender, message)
                tasks.start_soon(self._pull, sender, digest)
            return
        await self._handle_heartbeat(sender, message)

    async def _handle_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat
    ) -> None:
        await self._send_former(sender)
        if self._heartbeat_callback is not None:
            await self._heartbeat_callback(sender, message)

    def _is_repair_peer(self, sender: str) -> bool:
        """Returns whether this node repairs its table from a peer.

        A node has links for calls to many other nodes. Pulling from each of
        them after a change would transfer dozens of whole tables.
        """
        neighbours = self._peers.neighbours()
        return sender in neighbours or not neighbours

    async def _pull(self, sender: str, peer_digest: int) -> None:
        now_s = self._clock.monotonic_s()
        next_s, interval_s = self._pulls.get(
            sender, (now_s, MIN_PULL_INTERVAL_S)
        )
        if now_s < next_s:
            return
        next_interval_s = min(2 * interval_s, MAX_PULL_INTERVAL_S)
        self._pulls[sender] = (now_s + interval_s, next_interval_s)
        # Digests also differ while a change is being flooded. The delay lets
        # it arrive before a whole table is transferred. A node that has just
        # started needs the table at once.
        is_first, self._has_pulled = not self._has_pulled, True
        if not is_first:
            await self._clock.sleep_s(self._rng.uniform(0.2, 0.8))
        digest = self._table.digest()
        if digest == peer_digest:
            return
        try:
            reply = await self._peers.request(
                sender,
                pull_members.PullMembers(digest),
                timeout_s=PULL_TIMEOUT_S,
            )
        except exceptions.PeerError as error:
            _LOGGER.debug("event=pull-failed peer=%s error=%s", sender, error)
            return
        if isinstance(reply, members.Members):
            await self._on_members(sender, reply)

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


def _is_former(former: _Record, current: _Record) -> bool:
    """Returns whether a record is of a previous run with a target."""
    return (
        former.node_id == current.node_id
        and former.boot_ms != current.boot_ms
        and former.incarnation != UNCONFIRMED
        and bool(former.target_id)
    )


def _pages(records: tuple[_Record, ...]) -> list[tuple[_Record, ...]]:
    return [
        records[start : start + PAGE_RECORDS]
        for start in range(0, len(records), PAGE_RECORDS)
    ]
