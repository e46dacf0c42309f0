"""A whole configuration of routes and services."""

import typing

from galenatack.model import caller_limits
from galenatack.model import host_route


class TrafficConfig(typing.NamedTuple):
    """A whole configuration of routes and services.

    Attributes:
        version: Grows with each configuration, in uneven steps.
        routes: All routes.
        max_connections: Most connections to one target, by service.
        limits: Bounds on callers.
    """

    version: int
    routes: tuple[host_route.HostRoute, ...]
    max_connections: dict[str, int]
    limits: caller_limits.CallerLimits
