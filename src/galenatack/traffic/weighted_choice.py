"""Distributes the calls of a route among its services by weight."""

from galenatack.model import host_route
from galenatack.model import weighted_service


class WeightedChoice:
    """Smooth weighted round robin with separate state for each route.

    Unlike a random choice, each service's share stays within one call of its
    weight at any time, even on a node with few calls.
    """

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def pick(self, route: host_route.HostRoute) -> str:
        """Returns the service for the next call of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        route_credits = self._credits.get(route.name)
        names = {weighted.service for weighted in route.services}
        if route_credits is None or route_credits.keys() != names:
            route_credits = self._credits[route.name] = dict.fromkeys(names, 0)
        return _pick_next(route.services, route_credits)

    def retain_only(self, names: set[str]) -> None:
        """Removes the state of all other routes."""
        for name in self._credits.keys() - names:
            del self._credits[name]


def _pick_next(
    services: tuple[weighted_service.WeightedService, ...],
    route_credits: dict[str, float],
) -> str:
    total = 0.0
    for weighted in services:
        route_credits[weighted.service] += weighted.weight
        total += weighted.weight
    chosen = max(
        services, key=lambda weighted: route_credits[weighted.service]
    ).service
    route_credits[chosen] -= total
    return chosen
