"""Counters of the connections of a listener."""

import collections
import dataclasses


@dataclasses.dataclass(slots=True)
class ConnectionStats:
    """Counters of the connections of a listener.

    Attributes:
        refusals: Number of requests that were refused unread, by status.
        held_answers: Number of answers that were ready and had to wait for
            those of earlier requests on their connection.
        dropped_peers: Number of connections that were closed because their
            peers did not read.
    """

    refusals: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    held_answers: int = 0
    dropped_peers: int = 0
