"""Moving averages of the time that calls spend at a target."""

SMOOTHING = 0.15
"""Weight of the latest call: half of the average comes from about five."""


class ServiceTimes:
    """Average time at the target by route, and over all routes."""

    def __init__(self):
        self._by_route: dict[str, float] = {}
        self._mean_ms = 0.0

    def record(self, route: str, ran_ms: float) -> None:
        """Adds the time of one call."""
        known_ms = self._by_route.get(route)
        self._by_route[route] = _smoothed(known_ms, ran_ms)
        self._mean_ms = _smoothed(self._mean_ms or None, ran_ms)

    def expected_ms(self, route: str) -> float:
        """Returns the expected time of a call; 0 when nothing is known."""
        return self._by_route.get(route, self._mean_ms)

    def known_ms(self, route: str) -> float | None:
        """Returns the average of a route, or None before its first call."""
        return self._by_route.get(route)


def _smoothed(known: float | None, latest: float) -> float:
    if known is None:
        return latest
    return known + SMOOTHING * (latest - known)
