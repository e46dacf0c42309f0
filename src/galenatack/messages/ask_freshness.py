"""Request for how current a node's configuration is."""

import typing


class AskFreshness(typing.NamedTuple):
    """Asks how current the receiver's configuration is.

    Answered by `Freshness`.
    """
