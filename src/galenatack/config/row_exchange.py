"""Keeps the mirrored rows of nodes equal, also without the store."""

import collections.abc
import logging

import anyio

from galenatack import exceptions
from galenatack.config import row_codec
from galenatack.config import row_mirror
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.messages import heartbeat
from galenatack.messages import pull_rows
from galenatack.messages import rows as rows_message
from galenatack.model import proximity

PULL_TIMEOUT_S = 0.8
"""A node that is cut off from the store has about 7 s for a change; a frozen
peer must not hold up the next one."""

_Proximity = proximity.Proximity

STAND_BY_WAIT_S = {
    _Proximity.OWN_DATA_CENTRE: 0.0,
    _Proximity.OWN_REGION: 0.4,
    _Proximity.OTHER_REGION: 0.9,
}
"""Time that a node without a watch is behind before it asks a peer. Usually a
node of its own data centre has the rows within a quarter of a second; a change
must be in force within 2.5 s."""

FOLLOWING_WAIT_S = {
    _Proximity.OWN_DATA_CENTRE: 1.0,
    _Proximity.OWN_REGION: 1.0,
    _Proximity.OTHER_REGION: 2.0,
}
"""The same for a node that watches the store, which is paced by half a second
and may be silent."""

MAX_FRAME_ROW_BYTES = 3_000_000
"""Rows of one answer; the frame holds 4 MiB."""

_LOGGER = logging.getLogger(__name__)

OnNewerPeer = collections.abc.Callable[[], None]


class RowExchange:
    """Pulls rows from a peer whose heartbeat shows newer ones.

    Args:
        mirror: Rows of this node.
        peers: Links to other nodes.
        own_heartbeat: Returns the heartbeat of this node.
        on_newer_peer: Called when a peer holds something newer.
        is_following: Tells whether this node watches the store.
        is_store_healthy: Tells whether the store answers this node.
        proximity_of: Tells how far a node is away.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        mirror: row_mirror.RowMirror,
        peers: peer_network.PeerNetwork,
        own_heartbeat: collections.abc.Callable[[], heartbeat.Heartbeat],
        on_newer_peer: OnNewerPeer,
        is_following: collections.abc.Callable[[], bool],
        is_store_healthy: collections.abc.Callable[[], bool],
        proximity_of: collections.abc.Callable[[str], _Proximity],
        clock: clock_interface.Clock,
    ):
        self._mirror = mirror
        self._peers = peers
        self._own_heartbeat = own_heartbeat
        self._on_newer_peer = on_newer_peer
        self._is_following = is_following
        self._is_store_healthy = is_store_healthy
        self._proximity_of = proximity_of
        self._clock = clock
        self._told: dict[str, tuple[int, ...]] = {}
        self._lock = anyio.Lock()
        peers.on(pull_rows.PullRows, self._on_pull)

    async def announce(self, *, source: str | None = None) -> None:
        """Tells the neighbours at once which rows this node holds.

        Args:
            source: The neighbour from which the rows came.
        """
        await self._peers.broadcast(self._own_heartbeat(), exclude=source)

    async def on_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat
    ) -> None:
        """Pulls from a peer that holds newer rows when nobody else brings them.

        The wait lets nearer peers, or the store, bring the rows first: whole
        rows from each of them would cross the links several times.
        """
        revisions = message.table_revisions
        if not self._mirror.is_behind(revisions) or not self._is_asked(sender):
            return
        self._on_newer_peer()
        is_asking = sender in self._told
        self._told[sender] = revisions
        if is_asking:
            return
        try:
            await self._catch_up(sender)
        finally:
            del self._told[sender]

    def _is_asked(self, sender: str) -> bool:
        """Tells whether rows are pulled from a peer.

        The kept links lead to every node over some path. Others carry calls;
        a pull would first have to dial a link of its own, and a slow one
        would hold up those of nearer peers.
        """
        neighbours = self._peers.neighbours()
        return sender in neighbours or not neighbours

    async def _catch_up(self, sender: str) -> None:
        wait_s = self._wait_s(sender)
        if wait_s:
            await self._clock.sleep_s(wait_s)
        async with self._lock:
            # The peer may have told of more rows meanwhile.
            while self._mirror.is_behind(self._told[sender]):
                before = self._mirror.revisions
                await self._pull(sender)
                if self._mirror.revisions == before:
                    return

    def _wait_s(self, sender: str) -> float:
        if not self._is_store_healthy():
            return 0.0
        waits = FOLLOWING_WAIT_S if self._is_following() else STAND_BY_WAIT_S
        return waits[self._proximity_of(sender)]

    async def _pull(self, sender: str) -> None:
        try:
            answer = await self._peers.request(
                sender,
                pull_rows.PullRows(self._mirror.revisions),
                timeout_s=PULL_TIMEOUT_S,
            )
            if not isinstance(answer, rows_message.Rows):
                return
            taken = self._mirror.apply(row_codec.unpack(answer))
        except (exceptions.PeerError, exceptions.DocumentError) as error:
            _LOGGER.info(
                "event=rows-not-pulled peer=%s error=%s", sender, error
            )
            return
        _LOGGER.info(
            "event=rows-pulled peer=%s rows=%d taken=%d",
            sender,
            len(answer.rows),
            len(taken),
        )
        if taken:
            await self.announce(source=sender)

    async def _on_pull(
        self, sender: str, message: pull_rows.PullRows
    ) -> rows_message.Rows:
        del sender
        chosen = []
        size_bytes = 0
        for row in self._mirror.since(message.table_revisions):
            size_bytes += len(row.value) + len(row.key)
            if size_bytes > MAX_FRAME_ROW_BYTES:
                break
            chosen.append(row)
        return row_codec.pack(tuple(chosen))
