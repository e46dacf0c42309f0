"""Faults of the store stand-in."""

import dataclasses

from standins.store import row_store


@dataclasses.dataclass
class Faults:
    """Faults that a test injects.

    Attributes:
        is_down: Whether every call is refused with 503.
        refused_nodes: Nodes whose calls are refused with 503.
        silent_nodes: Nodes whose calls get no answer.
        slow_s: Delay of each answer.
        lose_answers: Number of upcoming writes that take effect but get no
            answer.
        is_deaf: Whether watches over HTTP get no answer.
        lagging_rows: If set, reads of whole tables return these rows, with the
            newest revision.
        late_s: If above 0, a write without an answer takes effect only after
            this delay, if its condition still holds.
    """

    is_down: bool = False
    refused_nodes: set[str] = dataclasses.field(default_factory=set)
    silent_nodes: set[str] = dataclasses.field(default_factory=set)
    slow_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    is_deaf: bool = False
    lagging_rows: row_store.RowStore | None = None
