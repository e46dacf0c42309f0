"""Sends what was flooded before to neighbours that may not know it."""

import collections.abc
import typing

from galenatack import exceptions
from galenatack.interfaces import peer_network

Messages = collections.abc.Callable[
    [], collections.abc.Collection[typing.NamedTuple]
]


class NeighbourSync:
    """Sends all messages of a kind to each new neighbour.

    They are flooded once. A node that was restarted or cut off at that moment
    would not know them.

    Args:
        messages: Returns all messages that a node has to know.
        peers: Links to other nodes.
    """

    def __init__(self, *, messages: Messages, peers: peer_network.PeerNetwork):
        self._messages = messages
        self._peers = peers
        self._synced: set[str] = set()

    async def on_heartbeat(self, peer_id: str) -> None:
        """Sends all messages to a neighbour that has not got them yet."""
        if peer_id in self._synced:
            return
        known = self._messages()
        # Without any, a later one is flooded to all neighbours.
        if not known:
            return
        neighbours = self._peers.neighbours()
        if peer_id not in neighbours:
            return
        self._synced = {peer_id, *(self._synced & neighbours)}
        try:
            for message in known:
                await self._peers.send(peer_id, message)
        except exceptions.PeerError:
            # Retried at the next heartbeat of the peer.
            self._synced.discard(peer_id)

    def on_link_lost(self, peer_id: str) -> None:
        """Marks a peer to be sent all messages when it is back."""
        self._synced.discard(peer_id)
