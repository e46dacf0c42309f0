"""Entries changed after one seq up to another."""

import typing

from galenatack.model import entry
from galenatack.model import event_id


class Delta(typing.NamedTuple):
    """Entries changed after one seq up to another.

    Attributes:
        from_seq: The receiver must hold at least this seq; 0 for the
            whole state.
        to_seq: Seq that the receiver holds afterwards.
        entries: The latest entry of each changed key.
        cause: Event that led to it.
        parts_of_seq: 0 for a delta that is complete. Otherwise the sender
            holds this seq and cut the delta at `to_seq`: entries are missing
            that have a newer one of the same key after the cut. The receiver
            holds nothing of it until a complete delta reaches this seq.
    """

    from_seq: int
    to_seq: int
    entries: tuple[entry.Entry, ...]
    cause: event_id.EventId | None
    parts_of_seq: int = 0
