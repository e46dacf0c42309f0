"""A time span in which nodes or the store were disrupted."""

import typing


class Disruption(typing.NamedTuple):
    """A time span in which nodes or the store were disrupted.

    Attributes:
        from_s: Start.
        to_s: End.
        nodes: Indexes of the disrupted nodes; None for all.
        is_partial: Whether the store went on serving, but not in full; this
            stretches time bounds instead of suspending them.
        is_slow: Whether processes may have been slowed down.
    """

    from_s: float
    to_s: float
    nodes: frozenset[int] | None = None
    is_partial: bool = False
    is_slow: bool = False

    def hits(self, node: int) -> bool:
        """Returns whether a node is among the disrupted ones."""
        return self.nodes is None or node in self.nodes

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Returns whether it overlaps a time span."""
        return self.from_s <= to_s and self.to_s >= from_s
