"""Tracks the highest seq that each peer holds."""

import collections.abc

# Holders besides the node itself that are needed before a seq runs. If the
# first node to run it crashes right away, two copies remain in the data
# centre.
MIN_OTHER_HOLDERS = 2


class HeldSeqTracker:
    """Held seqs by peer, as reported by the peers."""

    def __init__(self):
        self._held: dict[str, int] = {}

    def raise_to(self, peer_id: str, seq: int) -> None:
        """Records that a peer holds at least `seq`."""
        self._held[peer_id] = max(seq, self._held.get(peer_id, 0))

    def set_to(self, peer_id: str, seq: int) -> None:
        """Records the seq of a heartbeat; a restarted peer may hold less."""
        self._held[peer_id] = seq

    def remove(self, peer_id: str) -> None:
        """Removes the seq of a peer that restarted, died or failed."""
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
