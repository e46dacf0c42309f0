"""Request for the whole member table; answered by `Members`."""

import typing


class PullMembers(typing.NamedTuple):
    """Requests the whole member table; answered by `Members`.

    Attributes:
        member_digest: Digest of the sender's table; the reply has no records
            if the tables are equal.
    """

    member_digest: int
