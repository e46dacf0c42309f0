"""Shares of quotas that nodes have lent to their owner."""


class Pledges:
    """Knows which nodes have lent their share, and until when.

    Each node has an equal share of each quota, and either uses it itself or
    lends it to one owner. Whatever nodes believe of each other, the shares in
    use therefore never exceed the quota.
    """

    def __init__(self):
        self._until_s: dict[str, float] = {}
        self._counts: dict[str, int] = {}

    def renew(self, node_id: str, *, until_s: float, nodes: int) -> None:
        """Records that a node lends its share.

        Args:
            node_id: The node.
            until_s: Monotonic time at which it may use the share itself.
            nodes: Number of nodes that it knows.
        """
        self._until_s[node_id] = until_s
        self._counts[node_id] = nodes

    def release(self, node_id: str) -> None:
        """Records that a node uses its share itself again."""
        self._until_s.pop(node_id, None)
        self._counts.pop(node_id, None)

    def share(self, now_s: float, *, nodes: int) -> float:
        """Returns the lent part of each quota.

        Args:
            now_s: Monotonic time.
            nodes: Number of nodes that the owner knows.
        """
        for node_id, until_s in list(self._until_s.items()):
            if until_s <= now_s:
                self.release(node_id)
        return len(self._until_s) / self.nodes(nodes)

    def nodes(self, nodes: int) -> int:
        """Returns the number of nodes that share the quotas.

        Args:
            nodes: Number that the owner knows. One that has just started may
                know few; those that lend to it may know more.
        """
        return max(nodes, len(self._until_s), 1, *self._counts.values())
