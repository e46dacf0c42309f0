"""A route that is chosen by host and path prefix."""

import typing

from galenatack.model import weighted_service


class HostRoute(typing.NamedTuple):
    """A route that is chosen by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host that callers name, in lower case and without a port.
        path_prefix: Begins and ends with a slash.
        services: Services that share the calls; at least one.
        is_idempotent: False when a call runs at most once.
        timeout_ms: Longest time until the caller has an answer.
        target_latency_ms: Time within which an answer is worth most.
        priority: Rank under load; 0 goes first.
        max_attempts: Most targets that a call may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[weighted_service.WeightedService, ...]
    is_idempotent: bool
    timeout_ms: int
    target_latency_ms: int
    priority: int
    max_attempts: int
