"""A route that is matched by host and path prefix."""

import typing

from galenatack.model import weighted_service


class HostRoute(typing.NamedTuple):
    """A route that is matched by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host of the matching requests, in lower case, without a port.
        path_prefix: Path prefix, which begins and ends with a slash.
        services: Services that share the calls; empty if this release does
            not know the destination.
        is_idempotent: False if a call runs at most once.
        timeout_ms: Maximum time until the caller has an answer.
        target_latency_ms: Latency objective: an answer within this time has
            its full value.
        priority: Priority under load; 0 is the highest.
        max_attempts: Maximum number of targets to which a call is sent.
        unknowns: Parts of the route that this release does not know.
        is_anonymous: True if its requests need no key of a tenant.
        home_regions: Regions whose targets may run its calls; empty for
            all.
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
    unknowns: tuple[str, ...] = ()
    is_anonymous: bool = False
    home_regions: tuple[str, ...] = ()
