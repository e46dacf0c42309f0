"""Sent on each link every second; carries the digests for anti-entropy."""

import typing


class Heartbeat(typing.NamedTuple):
    """Sent on each link every second; carries the digests for anti-entropy.

    Attributes:
        held_seq: Highest seq that the sender holds.
        member_digest: 64-bit digest of the sender's member table.
        hlc: The sender's hybrid logical time.
        table_revisions: Newest revision that the sender holds of each
            mirrored table, in the order of their names.
        follows_store: True when the sender hears changes from the store
            itself, so that others of its data centre need not.
    """

    held_seq: int
    member_digest: int
    hlc: int
    table_revisions: tuple[int, ...] = ()
    follows_store: bool = False
