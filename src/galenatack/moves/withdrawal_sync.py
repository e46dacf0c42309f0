"""Sends the known withdrawals to peers that may not know them."""

from galenatack import exceptions
from galenatack.interfaces import peer_network
from galenatack.moves import withdrawals


class WithdrawalSync:
    """Sends all withdrawals to each new neighbour.

    A withdrawal is flooded once. A node that was restarted or cut off at that
    moment would use the withdrawn version again.

    Args:
        withdrawn: The known withdrawals.
        peers: Links to other nodes.
    """

    def __init__(
        self,
        *,
        withdrawn: withdrawals.Withdrawals,
        peers: peer_network.PeerNetwork,
    ):
        self._withdrawn = withdrawn
        self._peers = peers
        self._synced: set[str] = set()

    async def on_heartbeat(self, peer_id: str) -> None:
        """Sends all withdrawals to a neighbour that has not got them yet."""
        known = self._withdrawn.all()
        # Without any, a later one is flooded to all neighbours.
        if not known or peer_id in self._synced:
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
        """Marks a peer to be sent all withdrawals when it is back."""
        self._synced.discard(peer_id)
