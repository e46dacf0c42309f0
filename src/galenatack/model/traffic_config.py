"""A whole configuration of routes and services."""

import typing

from galenatack.model import caller_limits
from galenatack.model import host_route


class TrafficConfig(typing.NamedTuple):
    """A whole configuration of routes and services.

    Attributes:
        version: Version number; increases with each configuration, but not
            always by 1.
        routes: All routes.
        max_connections: Maximum number of connections to one target, by
            service.
        limits: Limits on callers.
    """

    version: int
    routes: tuple[host_route.HostRoute, ...]
    max_connections: dict[str, int]
    limits: caller_limits.CallerLimits
