"""Limits of a service's calls."""

import typing


class Limits(typing.NamedTuple):
    """Limits of a service's calls.

    Attributes:
        queue_entries: Calls that may wait at an inbound gate.
        max_body_bytes: Largest body of a call or an answer.
        cross_region_bytes_per_s: Budget for calls that leave the region,
            for each node.
        slow_start_ms: Time over which a new target's share rises to its
            full weight.
    """

    queue_entries: int = 12
    max_body_bytes: int = 1_048_576
    cross_region_bytes_per_s: int = 250_000
    slow_start_ms: int = 10_000
