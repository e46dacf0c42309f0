"""Load of a target as it reports it itself."""

import typing


class TargetLoad(typing.NamedTuple):
    """Load of a target as it reports it itself.

    Attributes:
        running: Number of calls that it runs.
        queued: Number of calls that wait in its own queue.
        slots: Number of calls that it runs concurrently.
        slowdown: How long work takes on its machine now, as a multiple of the
            usual; 1.0 if it does not say so.
    """

    running: int
    queued: int
    slots: int
    slowdown: float = 1.0
