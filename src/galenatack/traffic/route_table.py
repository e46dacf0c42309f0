"""Finds the route of a call by host and longest prefix."""

import collections

from galenatack.model import caller_limits
from galenatack.model import host_route
from galenatack.model import traffic_config
from galenatack.tenants import tenant_table


class RouteTable:
    """Immutable index of one configuration.

    Args:
        config: The configuration.

    Attributes:
        version: Version of the configuration.
        limits: Limits on callers.
        tenants: Tenants and their keys; None if requests need no keys.
    """

    def __init__(self, config: traffic_config.TrafficConfig):
        self.version = config.version
        self.limits: caller_limits.CallerLimits = config.limits
        self.tenants: tenant_table.TenantTable | None = (
            None
            if config.tenants is None
            else tenant_table.TenantTable(config.tenants)
        )
        self._max_connections = config.max_connections
        self._warm_ups = config.warm_ups
        self._by_host: dict[str, dict[str, host_route.HostRoute]] = (
            collections.defaultdict(dict)
        )
        for route in config.routes:
            self._by_host[route.host][route.path_prefix] = route
        self._lengths = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in self._by_host.items()
        }

    def find(self, host: str, path: str) -> host_route.HostRoute | None:
        """Returns the route with the longest matching prefix, or None.

        Args:
            host: Host in lower case without a port.
            path: Path, with or without a query string.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        path = path.partition("?")[0]
        # Not each slash of the path: it may have thousands.
        for length in self._lengths[host]:
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None

    def max_connections(self, service: str) -> int:
        """Returns the connection limit of one target; 0 means no limit."""
        return self._max_connections.get(service, 0)

    def cold_rate_per_s(self, service: str) -> float:
        """Returns the calls per second of a cold target; 0 means no limit."""
        known = self._warm_ups.get(service)
        return known.rate_per_s if known else 0.0
