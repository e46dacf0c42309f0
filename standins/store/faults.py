"""Faults of the store stand-in."""

import dataclasses


@dataclasses.dataclass
class Faults:
    """Faults that a test switches on and off.

    Attributes:
        is_down: Every call is refused with 503.
        refused_nodes: Nodes whose calls are refused with 503.
        silent_nodes: Nodes whose calls are never answered.
        slow_s: Time that each answer is held back.
        lose_answers: Writes that are done and not answered.
        late_s: When above 0, a write that loses its answer is done only
            after this time, if its condition still holds.
    """

    is_down: bool = False
    refused_nodes: set[str] = dataclasses.field(default_factory=set)
    silent_nodes: set[str] = dataclasses.field(default_factory=set)
    slow_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
