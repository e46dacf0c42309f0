"""A whole configuration of routes and services."""

import collections.abc
import types
import typing

from galenatack.model import caller_limits
from galenatack.model import host_route
from galenatack.model import tenant
from galenatack.model import warm_up


class TrafficConfig(typing.NamedTuple):
    """A whole configuration of routes and services.

    Attributes:
        version: Version number; increases with each configuration, but not
            always by 1.
        routes: All routes.
        max_connections: Maximum number of connections to one target, by
            service.
        limits: Limits on callers.
        tenants: Tenants of the deployment; None if requests need no keys.
        warm_ups: Behaviour of cold targets, by service.
    """

    version: int
    routes: tuple[host_route.HostRoute, ...]
    max_connections: dict[str, int]
    limits: caller_limits.CallerLimits
    tenants: tuple[tenant.Tenant, ...] | None = None
    warm_ups: collections.abc.Mapping[str, warm_up.WarmUp] = (
        types.MappingProxyType({})
    )
