"""A configuration entry: a profile, a choice or a move."""

import typing


class Entry(typing.NamedTuple):
    """A configuration entry: a profile, a choice or a move.

    Attributes:
        key: `profile/<name>`, `service/<name>` or `move/<service>`.
        seq: Sequence number of the change that wrote it.
        version: Version of this entry; increases by 1 with each change.
        digest: SHA-256 of the body, in hex.
        body: Canonical JSON of the value.
    """

    key: str
    seq: int
    version: int
    digest: str
    body: bytes
