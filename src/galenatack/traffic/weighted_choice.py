"""Divides the calls of a route among its services by weight."""

from galenatack.model import host_route
from galenatack.model import weighted_service


class WeightedChoice:
    """Smooth weighted round robin, with one state for each route.

    Unlike a random choice it keeps each share within one call at any time,
    also when a node sees few calls.
    """

    def __init__(self):
        self._credits: dict[str, dict[str, int]] = {}

    def pick(self, route: host_route.HostRoute) -> str:
        """Returns the service that takes the next call of a route."""
        if len(route.services) == 1:
            return route.services[0].service
        known = self._credits.get(route.name)
        names = {item.service for item in route.services}
        if known is None or known.keys() != names:
            known = self._credits[route.name] = dict.fromkeys(names, 0)
        return _next(route.services, known)

    def retain_only(self, names: set[str]) -> None:
        """Forgets the state of all routes but these."""
        for name in self._credits.keys() - names:
            del self._credits[name]


def _next(
    services: tuple[weighted_service.WeightedService, ...],
    owed: dict[str, int],
) -> str:
    total = 0
    for item in services:
        owed[item.service] += item.weight
        total += item.weight
    chosen = max(services, key=lambda item: owed[item.service]).service
    owed[chosen] -= total
    return chosen
