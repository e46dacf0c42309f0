"""Size and time limits of an inbound HTTP connection."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ConnectionLimits:
    """Size and time limits of an inbound HTTP connection.

    Attributes:
        max_header_bytes: Maximum size of a request head.
        max_body_bytes: Maximum size of a request body.
        header_timeout_s: Maximum time to receive a request head.
        idle_timeout_s: Maximum time between requests.
        request_timeout_s: Maximum time to receive a request that has no limit
            of its own.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_000_000
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    request_timeout_s: float = 10.0


def short_requests() -> ConnectionLimits:
    """Returns limits for a listener that takes no long bodies."""
    return ConnectionLimits(max_body_bytes=65_536)
