"""Limits on callers' requests and connections."""

import typing


class CallerLimits(typing.NamedTuple):
    """Limits on callers' requests and connections.

    Attributes:
        max_header_bytes: Maximum size of the head of a request.
        max_body_bytes: Maximum size of the body of a request.
        header_timeout_ms: Timeout for receiving the head of a request.
        idle_timeout_ms: Timeout between the requests of a connection.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_000_000
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000
