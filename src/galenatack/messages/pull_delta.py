"""Asks for the entries after a seq; answered by `Delta` or `Busy`."""

import typing


class PullDelta(typing.NamedTuple):
    """Asks for the entries after a seq; answered by `Delta` or `Busy`.

    Attributes:
        from_seq: Seq that the asker holds.
    """

    from_seq: int
