"""Bounds on what a caller may send."""

import typing


class CallerLimits(typing.NamedTuple):
    """Bounds on what a caller may send.

    Attributes:
        max_header_bytes: Largest head of a request.
        max_body_bytes: Largest body.
        header_timeout_ms: Longest time for the head of a request.
        idle_timeout_ms: Longest time between requests of a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_000_000
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
