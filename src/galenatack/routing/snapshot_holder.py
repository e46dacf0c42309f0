"""Holds the snapshot in force."""

from galenatack.invariants import references
from galenatack.routing import snapshot as snapshot_module


class SnapshotHolder:
    """Holds the snapshot in force; swapping is one assignment.

    Attributes:
        current: The snapshot in force.
    """

    def __init__(self):
        self.current = snapshot_module.EMPTY

    def swap(self, snapshot: snapshot_module.RoutingSnapshot) -> None:
        """Puts a snapshot in force unless it has unresolved references.

        Raises:
            references.UnresolvedReferenceError: References do not resolve, in
                mode `raise`.
        """
        if references.check(snapshot):
            self.current = snapshot
