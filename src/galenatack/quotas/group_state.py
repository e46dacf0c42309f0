"""State of a group of tenants at a node."""

import dataclasses
import math


@dataclasses.dataclass
class GroupState:
    """State of a group of tenants at this node.

    Attributes:
        owner: Node that owns its quotas.
        stamp_ms: Stamp of the owner's last reply; 0 without one.
        stamped_s: Monotonic time at which it arrived.
        lent_to: Node to which the share was lent last; empty if it was not.
        lent_until_s: Monotonic time until which it is lent.
        asked_s: Monotonic time of the last question.
        uses_own: Whether the own share is in use.
        nodes: Number of nodes that the owner knows.
    """

    owner: str = ""
    stamp_ms: int = 0
    stamped_s: float = -math.inf
    lent_to: str = ""
    lent_until_s: float = -math.inf
    asked_s: float = -math.inf
    uses_own: bool = False
    nodes: int = 1
