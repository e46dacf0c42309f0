"""Maintains the overlay and carrier links that membership requires."""

import collections.abc
import logging

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import random_source
from galenatack.links import dial_backoff
from galenatack.links import link_purpose
from galenatack.links import link_registry
from galenatack.links import peer_link
from galenatack.membership import member_table
from galenatack.membership import node_roles
from galenatack.membership import ring
from galenatack.model import member_record

YIELD_S = 0.5
"""How long the node with the higher id waits for the peer to dial first."""

FIRST_YIELD_S = 0.1
"""The same for a node without any link, which has just started: it needs its
neighbours' state, and they may not know it yet."""

STABLE_S = 5.0
"""A link that breaks sooner counts as a failed attempt.

Otherwise a peer that accepts and drops links would be dialled in a loop.
"""

_LOGGER = logging.getLogger(__name__)

Open = collections.abc.Callable[
    [str, link_purpose.LinkPurpose],
    collections.abc.Awaitable[peer_link.PeerLink],
]


class LinkKeeper:
    """Runs one task for each required link.

    Args:
        table: Member table.
        clock: Clock of the links.
        rng: Jitter of the backoff.
        registry: The open links.
        open_link: Opens a link to a node.
    """

    def __init__(
        self,
        *,
        table: member_table.MemberTable,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        registry: link_registry.LinkRegistry,
        open_link: Open,
    ):
        self._table = table
        self._clock = clock
        self._rng = rng
        self._registry = registry
        self._open_link = open_link
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._is_stale = True
        self._stream_peers: frozenset[str] = frozenset()
        table.subscribe(self._on_changed)

    def is_stream_peer(self, node_id: str) -> bool:
        """Returns whether this node sends its region's stream to a peer."""
        return node_id in self._stream_peers

    def refresh(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts and stops tasks after a change of membership."""
        self._close_obsolete(tasks)
        if not self._is_stale:
            return
        self._is_stale = False
        required = self._required_links()
        self._stream_peers = node_roles.stream_peers(self._table)
        for node_id in self._scopes.keys() - required.keys():
            self._scopes.pop(node_id).cancel()
        for node_id in sorted(required.keys() - self._scopes.keys()):
            scope = anyio.CancelScope()
            self._scopes[node_id] = scope
            tasks.start_soon(self._keep, node_id, required[node_id], scope)

    def _on_changed(
        self, changed: tuple[member_record.MemberRecord, ...]
    ) -> None:
        del changed
        self._is_stale = True

    def _required_links(self) -> dict[str, link_purpose.LinkPurpose]:
        own = self._table.own
        neighbours = ring.successors(
            own.node_id,
            (
                record.node_id
                for record in self._table.live()
                if record.data_centre == own.data_centre
            ),
        )
        carried = node_roles.carrier_peers(self._table)
        return dict.fromkeys(
            carried, link_purpose.LinkPurpose.CARRIER
        ) | dict.fromkeys(neighbours, link_purpose.LinkPurpose.OVERLAY)

    async def _keep(
        self,
        node_id: str,
        purpose: link_purpose.LinkPurpose,
        scope: anyio.CancelScope,
    ) -> None:
        delays = dial_backoff.DialBackoff(rng=self._rng)
        with scope:
            if self._table.own.node_id > node_id:
                yield_s = YIELD_S if self._registry.links() else FIRST_YIELD_S
                await self._clock.sleep_s(yield_s)
            while True:
                link = self._registry.find_persistent(node_id)
                try:
                    link = link or await self._open_link(node_id, purpose)
                    opened_s = self._clock.monotonic_s()
                    await link.closed.wait()
                    if self._clock.monotonic_s() - opened_s >= STABLE_S:
                        delays.reset()
                except exceptions.PeerError as error:
                    _LOGGER.debug(
                        "event=dial-failed peer=%s error=%s", node_id, error
                    )
                await self._clock.sleep_s(delays.next_s())

    def _close_obsolete(self, tasks: anyio.abc.TaskGroup) -> None:
        for link in self._registry.links():
            is_persistent = (
                link.dialled and link.purpose in link_purpose.PERSISTENT
            )
            if is_persistent and link.node_id not in self._scopes:
                link.close_soon(tasks)
