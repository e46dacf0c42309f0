"""Entries changed in a range of seqs."""

import typing

from galenatack.model import entry
from galenatack.model import event_id


class Delta(typing.NamedTuple):
    """Entries changed after `from_seq`, up to and including `to_seq`.

    Attributes:
        from_seq: Seq that the receiver must hold at least; 0 for the whole
            state.
        to_seq: Seq that the receiver holds afterwards.
        entries: The latest entry of each changed key.
        cause: Event that caused the change.
        parts_of_seq: 0 for a complete delta. Otherwise the sender holds this
            seq and has cut the delta at `to_seq`: entries are missing whose
            key has a newer entry after the cut. The receiver holds none of
            the entries until a complete delta reaches this seq.
    """

    from_seq: int
    to_seq: int
    entries: tuple[entry.Entry, ...]
    cause: event_id.EventId | None
    parts_of_seq: int = 0
