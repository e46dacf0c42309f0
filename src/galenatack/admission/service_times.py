"""Moving averages of the service times of calls at a target."""

SMOOTHING = 0.15
"""Weight of the latest call: half of the average comes from about the last five
calls."""


class ServiceTimes:
    """Average service time of each route and of all routes together."""

    def __init__(self):
        self._by_route: dict[str, float] = {}
        self._mean_ms = 0.0

    def record(self, route: str, ran_ms: float) -> None:
        """Adds the service time of one call."""
        known_ms = self._by_route.get(route)
        self._by_route[route] = _smoothed(known_ms, ran_ms)
        self._mean_ms = _smoothed(self._mean_ms or None, ran_ms)

    def expected_ms(self, route: str) -> float:
        """Returns the expected service time; 0 before the first call.

        A route without calls yet gets the average of all routes.
        """
        return self._by_route.get(route, self._mean_ms)

    def known_ms(self, route: str) -> float | None:
        """Returns the average of a route, or None before its first call."""
        return self._by_route.get(route)


def _smoothed(known: float | None, latest: float) -> float:
    if known is None:
        return latest
    return known + SMOOTHING * (latest - known)
