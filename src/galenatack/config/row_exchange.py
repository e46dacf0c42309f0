"""Anti-entropy for mirrored rows between nodes, also without the store."""

import asyncio
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

PULL_PATIENCE_S = 0.8
"""Time after which rows are pulled from the next peer as well. A node that
cannot reach the store must get a change within about 7 s, so a frozen peer must
not delay the next pull for long."""

PULL_TIMEOUT_S = 4.0
"""Timeout of one pull. A reply that comes after the patience is still used: on
a slow and busy link every reply takes that long."""

MAX_PULLS = 3
"""Maximum number of pulls under way; their replies may share a slow link."""

_Proximity = proximity.Proximity

PASSIVE_PULL_DELAY_S = {
    _Proximity.OWN_DATA_CENTRE: 0.0,
    _Proximity.OWN_REGION: 0.0,
    _Proximity.OTHER_REGION: 0.9,
}
"""Delay before a node without a watch pulls newer rows from a peer. Usually a
node of its own region has the rows within a quarter of a second; a change must
be in force within 2.5 s."""

STANDBY_PULL_DELAY_S = 0.3
"""Delay before the other carriers of a data centre pull from their region. The
first one brings the rows to the data centre once."""

FOLLOWER_PULL_DELAY_S = {
    _Proximity.OWN_DATA_CENTRE: 1.0,
    _Proximity.OWN_REGION: 1.0,
    _Proximity.OTHER_REGION: 1.2,
}
"""The same delay for a node that watches the store: the answer to its watch may
still be under way. Its watches are half a second apart."""

MAX_FRAME_ROW_BYTES = 3_000_000
"""Limit on the row data of one reply, below the frame limit of 4 MiB."""

_LOGGER = logging.getLogger(__name__)

OnNewerPeer = collections.abc.Callable[[], None]


class RowExchange:
    """Pulls rows from a peer whose heartbeat shows newer ones.

    Args:
        mirror: Rows of this node.
        peers: Links to other nodes.
        own_heartbeat: Returns the heartbeat of this node.
        on_newer_peer: Called when a peer still holds newer rows after the
            delay, although this node may watch the store.
        is_following: Returns whether this node watches the store.
        is_store_healthy: Returns whether the store responds to this node.
        is_first_carrier: Returns whether this node is the first one that links
            its data centre to others.
        held_version: Returns the configuration version that this node runs.
        proximity_of: Returns the proximity of a node.
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
        is_first_carrier: collections.abc.Callable[[], bool],
        held_version: collections.abc.Callable[[], int],
        proximity_of: collections.abc.Callable[[str], _Proximity],
        clock: clock_interface.Clock,
    ):
        self._mirror = mirror
        self._peers = peers
        self._own_heartbeat = own_heartbeat
        self._on_newer_peer = on_newer_peer
        self._is_following = is_following
        self._is_store_healthy = is_store_healthy
        self._is_first_carrier = is_first_carrier
        self._held_version = held_version
        self._requested_version = 0
        self._proximity_of = proximity_of
        self._clock = clock
        self._announced: dict[str, tuple[int, ...]] = {}
        self._lock = anyio.Lock()
        self._pulls: set[asyncio.Task[bool]] = set()
        peers.on(pull_rows.PullRows, self._on_pull)

    async def announce(self, *, source: str | None = None) -> None:
        """Sends the neighbours a heartbeat with the current revisions.

        Args:
            source: Neighbour from which the rows came; it is skipped.
        """
        await self._peers.broadcast(self._own_heartbeat(), exclude=source)

    async def on_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat
    ) -> None:
        """Pulls newer rows from a peer, unless they arrive another way first.

        Waits before the pull, to let nearer peers or the store deliver the
        rows. Pulls from every such peer would send the same rows over the
        links several times.
        """
        revisions = message.table_revisions
        is_behind = self._mirror.is_behind(revisions)
        if not is_behind and message.held_seq <= self._held_version():
            return
        if not self._may_pull(sender):
            return
        if not is_behind:
            await self._recover_version(sender, message.held_seq)
            return
        is_pulling = sender in self._announced
        self._announced[sender] = revisions
        if is_pulling:
            return
        try:
            await self._catch_up(sender)
        finally:
            del self._announced[sender]

    async def _recover_version(self, sender: str, version: int) -> None:
        """Pulls the rows of a peer that runs a newer configuration.

        If its revisions are not newer, the store was restored from a copy and
        has lost the configuration, and this node has started since.
        """
        if version <= self._requested_version:
            return
        self._requested_version = version
        _LOGGER.warning(
            "event=config-lost-by-store version=%d own=%d peer=%s",
            version,
            self._held_version(),
            sender,
        )
        if not await self._pull(sender, (0,) * len(self._mirror.revisions)):
            self._requested_version = 0

    def _may_pull(self, sender: str) -> bool:
        """Returns whether rows may be pulled from a peer.

        The links to neighbours connect all nodes, directly or over others.
        Other peers are linked only for calls: a pull would have to dial a
        separate link first, and a slow dial would delay the pulls from nearer
        peers.
        """
        neighbours = self._peers.neighbours()
        return sender in neighbours or not neighbours

    async def _catch_up(self, sender: str) -> None:
        delay_s = self._pull_delay_s(sender)
        if delay_s:
            await self._clock.sleep_s(delay_s)
        if self._mirror.is_behind(self._announced[sender]):
            self._on_newer_peer()
        async with self._lock:
            await self._wait_for_pulls()
            # The peer may have announced more rows in the meantime.
            while self._mirror.is_behind(self._announced[sender]):
                before = self._mirror.revisions
                await self._pull(sender, before)
                if self._mirror.revisions == before:
                    return

    def _pull_delay_s(self, sender: str) -> float:
        if not self._is_store_healthy():
            return 0.0
        distance = self._proximity_of(sender)
        if self._is_following():
            return FOLLOWER_PULL_DELAY_S[distance]
        if distance == _Proximity.OWN_REGION and not self._is_first_carrier():
            return STANDBY_PULL_DELAY_S
        return PASSIVE_PULL_DELAY_S[distance]

    async def _wait_for_pulls(self) -> None:
        """Waits until another pull may start."""
        while len(self._pulls) >= MAX_PULLS:
            await asyncio.wait(self._pulls, return_when=asyncio.FIRST_COMPLETED)

    async def _pull(self, sender: str, revisions: tuple[int, ...]) -> bool:
        """Pulls the rows above some revisions; returns True if they came.

        A pull that takes longer than the patience goes on in the background.
        """
        pull = asyncio.create_task(self._request_rows(sender, revisions))
        self._pulls.add(pull)
        pull.add_done_callback(self._pulls.discard)
        done, _ = await asyncio.wait({pull}, timeout=PULL_PATIENCE_S)
        return bool(done) and pull.result()

    async def _request_rows(
        self, sender: str, revisions: tuple[int, ...]
    ) -> bool:
        """Applies the rows of a peer; returns False if none came."""
        try:
            reply = await self._peers.request(
                sender,
                pull_rows.PullRows(revisions),
                timeout_s=PULL_TIMEOUT_S,
            )
            if not isinstance(reply, rows_message.Rows):
                return False
            applied = self._mirror.apply(row_codec.unpack(reply))
        except (exceptions.PeerError, exceptions.DocumentError) as error:
            _LOGGER.info(
                "event=rows-not-pulled peer=%s error=%s", sender, error
            )
            return False
        _LOGGER.info(
            "event=rows-pulled peer=%s rows=%d taken=%d",
            sender,
            len(reply.rows),
            len(applied),
        )
        if applied:
            await self.announce(source=sender)
        return True

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
