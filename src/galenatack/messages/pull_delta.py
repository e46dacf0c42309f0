"""Request for the entries after a seq; answered by `Delta` or `Busy`."""

import typing


class PullDelta(typing.NamedTuple):
    """Requests the entries after a seq; answered by `Delta` or `Busy`.

    Attributes:
        from_seq: Seq that the sender holds.
    """

    from_seq: int
