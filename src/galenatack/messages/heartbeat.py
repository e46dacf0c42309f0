"""Sent on each link every second; carries the digests for anti-entropy."""

import typing

from galenatack.model import evacuation_record


class Heartbeat(typing.NamedTuple):
    """Sent on each link every second; carries the digests for anti-entropy.

    Attributes:
        held_seq: Highest seq that the sender holds.
        member_digest: 64-bit digest of the sender's member table.
        hlc: The sender's hybrid logical time.
        table_revisions: Newest revision that the sender holds of each
            mirrored table, in the order of their names.
        follows_store: True if the sender follows the store itself; other
            nodes of its data centre then get the changes from it.
        evacuations: What the sender knows of evacuated data centres.
    """

    held_seq: int
    member_digest: int
    hlc: int
    table_revisions: tuple[int, ...] = ()
    follows_store: bool = False
    evacuations: tuple[evacuation_record.EvacuationRecord, ...] = ()
