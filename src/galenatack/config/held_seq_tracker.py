"""Which seq each peer has reported to hold."""

import collections.abc

# Holders besides the node itself before a seq runs: a crash right after the
# first run leaves two copies in the data centre.
MIN_OTHER_HOLDERS = 2


class HeldSeqTracker:
    """The held seqs that peers reported."""

    def __init__(self):
        self._held: dict[str, int] = {}

    def raise_to(self, peer_id: str, seq: int) -> None:
        """Notes that a peer holds at least `seq`."""
        self._held[peer_id] = max(seq, self._held.get(peer_id, 0))

    def set_to(self, peer_id: str, seq: int) -> None:
        """Notes what a heartbeat says; a restarted peer may hold less."""
        self._held[peer_id] = seq

    def forget(self, peer_id: str) -> None:
        """Drops what a peer reported before it restarted or died."""
        self._held.pop(peer_id, None)

    def peers_ahead_of(self, seq: int) -> tuple[str, ...]:
        """Returns the peers that hold more than `seq`, sorted."""
        return tuple(
            sorted(peer for peer, held in self._held.items() if held > seq)
        )

    def replicated_seq(
        self, own_seq: int, others: collections.abc.Collection[str]
    ) -> int:
        """Returns the highest seq that enough nodes hold.

        Args:
            own_seq: Seq that this node holds.
            others: Other live nodes of the data centre.
        """
        needed = min(MIN_OTHER_HOLDERS, len(others))
        if not needed:
            return own_seq
        held = sorted(self._held.get(peer, 0) for peer in others)
        return min(own_seq, held[-needed])
