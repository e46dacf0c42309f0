"""Asks for the whole member table."""

import typing


class PullMembers(typing.NamedTuple):
    """Asks for the whole member table.

    Attributes:
        member_digest: Digest of the asker's table.
    """

    member_digest: int
