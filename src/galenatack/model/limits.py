"""Limits on the calls of a service."""

import typing


class Limits(typing.NamedTuple):
    """Limits on the calls of a service.

    Attributes:
        queue_entries: Size of the admission queue of an inbound gate.
        max_body_bytes: Maximum size of the body of a call or an answer.
        cross_region_bytes_per_s: Budget of each node for calls to other
            regions.
        slow_start_ms: Time in which the share of a new target rises to its
            full weight.
    """

    queue_entries: int = 12
    max_body_bytes: int = 1_048_576
    cross_region_bytes_per_s: int = 250_000
    slow_start_ms: int = 10_000
