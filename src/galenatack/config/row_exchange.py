"""Keeps the mirrored rows of nodes equal, also without the store."""

import collections.abc
import logging

from galenatack import exceptions
from galenatack.config import row_mirror
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.messages import heartbeat
from galenatack.messages import pull_rows
from galenatack.messages import rows as rows_message

PULL_TIMEOUT_S = 1.5
"""A node that is cut off from the store has about 7 s for a change."""

NEAR_PULL_S = 1.0
FAR_PULL_S = 2.0
"""Time that a node is behind before it asks a peer of its own region, or of
another one. The store's watch is paced by half a second and may be silent."""

MAX_FRAME_ROW_BYTES = 3_000_000
"""Rows of one answer; the frame holds 4 MiB."""

_LOGGER = logging.getLogger(__name__)

OnBehind = collections.abc.Callable[[], None]


class RowExchange:
    """Pulls rows from a peer whose heartbeat shows newer ones.

    Args:
        mirror: Rows of this node.
        peers: Links to other nodes.
        on_behind: Called when a peer holds something newer.
        is_store_healthy: Tells whether the store answers this node.
        is_near: Tells whether a node is in the own region.
        clock: Source of time.
    """

    def __init__(
        self,
        *,
        mirror: row_mirror.RowMirror,
        peers: peer_network.PeerNetwork,
        on_behind: OnBehind,
        is_store_healthy: collections.abc.Callable[[], bool],
        is_near: collections.abc.Callable[[str], bool],
        clock: clock_interface.Clock,
    ):
        self._mirror = mirror
        self._peers = peers
        self._on_behind = on_behind
        self._is_store_healthy = is_store_healthy
        self._is_near = is_near
        self._clock = clock
        self._pulling = False
        self._stuck: tuple[tuple[int, ...], float] | None = None
        peers.on(pull_rows.PullRows, self._on_pull)

    async def on_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat
    ) -> None:
        """Compares the revisions of a peer with the own ones."""
        if not self._mirror.is_behind(message.table_revisions):
            return
        if self._pulling or not self._is_due(sender):
            return
        self._on_behind()
        self._pulling = True
        try:
            await self._pull(sender)
        finally:
            self._pulling = False

    def _is_due(self, sender: str) -> bool:
        """Tells whether to pull from a peer now.

        The store usually brings the rows within moments; whole rows from
        peers as well would cross the links twice.
        """
        now_s = self._clock.monotonic_s()
        held = self._mirror.revisions
        if self._stuck is None or self._stuck[0] != held:
            # Rows still arrive; the time counts from the latest one. A peer
            # that is not ahead says nothing: it may be stuck as well.
            self._stuck = (held, now_s)
        if not self._is_store_healthy():
            return True
        wait_s = NEAR_PULL_S if self._is_near(sender) else FAR_PULL_S
        return now_s - self._stuck[1] >= wait_s

    async def _pull(self, sender: str) -> None:
        try:
            answer = await self._peers.request(
                sender,
                pull_rows.PullRows(self._mirror.revisions),
                timeout_s=PULL_TIMEOUT_S,
            )
        except exceptions.PeerError as error:
            _LOGGER.info(
                "event=rows-not-pulled peer=%s error=%s", sender, error
            )
            return
        if isinstance(answer, rows_message.Rows):
            taken = self._mirror.apply(answer.rows)
            _LOGGER.info(
                "event=rows-pulled peer=%s rows=%d taken=%d",
                sender,
                len(answer.rows),
                len(taken),
            )

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
        return rows_message.Rows(tuple(chosen))
