"""Bounds on what the peer of an HTTP connection may do."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ConnectionLimits:
    """Bounds on what the peer of an HTTP connection may do.

    Attributes:
        max_header_bytes: Largest head of a request.
        max_body_bytes: Largest body of a request.
        header_timeout_s: Longest time for the head of a request.
        idle_timeout_s: Longest time between requests.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_000_000
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
