"""A large configuration that changes in a series of versions."""

import itertools
import json
import random

from standins.mesh import operator_config

ROUTES = 350
HOSTS = 70
RECENT = 8
"""Number of changes whose routes are asked for most."""

MAX_STEP = 3
MAX_HEADER_BYTES = 8192
_ABSENT_FROM = 1_000_000
"""Routes with a number from here on never exist."""

Parts = tuple[tuple[str, float], ...]


class ConfigSeries:
    """A large configuration that changes in a series of versions.

    Args:
        services: Names of services.
        rng: Random source of the changes.

    Attributes:
        version: The newest version; 0 before the first one.
    """

    def __init__(self, *, services: tuple[str, ...], rng: random.Random):
        self.version = 0
        self._services = services
        self._rng = rng
        self._has_decimals = rng.random() < 0.3
        self._routes: dict[int, Parts] = {}
        self._numbers = itertools.count(ROUTES)
        self._removed: list[int] = []
        self._recent: list[int] = []

    def change(self) -> dict[int, frozenset[str]]:
        """Makes the next version; returns the services of changed routes."""
        if not self.version:
            self.version = 1
            self._routes = {
                route: ((self._rng.choice(self._services), 1),)
                for route in range(ROUTES)
            }
            return {
                route: _names(parts) for route, parts in self._routes.items()
            }
        self.version += self._rng.randint(1, MAX_STEP)
        kind = self._rng.choice((self._add, self._remove, self._move))
        route = kind()
        self._recent = [route, *self._recent][:RECENT]
        return {route: _names(self._routes.get(route, ()))}

    def document(self) -> bytes:
        """Returns the newest version as the operator writes it."""
        document = json.loads(
            operator_config.config(
                self.version, self._services, mark=self._services[0]
            )
        )
        document["limits"]["max_header_bytes"] = MAX_HEADER_BYTES
        document["routes"]["columns"].append("weighted_clusters")
        rows = document["routes"]["rows"]
        for row in rows:
            row.append(None)
        for route, parts in self._routes.items():
            rows.append(_row(route, parts))
        return json.dumps(document).encode()

    def draw_route(self, rng: random.Random) -> int:
        """Returns a route to ask for, mostly one that changed not long ago."""
        draw = rng.random()
        if draw < 0.7 and self._recent:
            return rng.choice(self._recent)
        if draw < 0.9:
            return rng.choice(tuple(self._routes))
        return _ABSENT_FROM + rng.randrange(ROUTES)

    def _add(self) -> int:
        if self._removed and self._rng.random() < 0.5:
            route = self._removed.pop()
        else:
            route = next(self._numbers)
        self._routes[route] = self._parts()
        return route

    def _remove(self) -> int:
        route = self._pick()
        del self._routes[route]
        self._removed.append(route)
        return route

    def _move(self) -> int:
        route = self._pick()
        former = self._routes[route]
        while self._routes[route] == former:
            self._routes[route] = self._parts()
        return route

    def _pick(self) -> int:
        """Returns a present route; half of them have changed before."""
        recent = [route for route in self._recent if route in self._routes]
        if recent and self._rng.random() < 0.5:
            return self._rng.choice(recent)
        return self._rng.choice(tuple(self._routes))

    def _parts(self) -> Parts:
        if self._rng.random() < 0.8:
            return ((self._rng.choice(self._services), 1),)
        # A split tells versions apart less often than a move does.
        weights = [self._rng.randint(1, 9) for _ in self._services]
        if self._has_decimals:
            weights = [weight / 10 for weight in weights]
        return tuple(zip(self._services, weights, strict=True))


def host(route: int) -> str:
    """Returns the host of a route."""
    return f"storefront-{route % HOSTS}.catalogue.example"


def prefix(route: int) -> str:
    """Returns the prefix of a route."""
    return f"/catalogue/sections/section-{route}/items/"


def _names(parts: Parts) -> frozenset[str]:
    return frozenset(service for service, _ in parts)


def _row(route: int, parts: Parts) -> list[object]:
    weighted = [
        {"service": service, "weight": weight} for service, weight in parts
    ]
    is_split = len(parts) > 1
    return [
        f"regional-catalogue-section-{route}-items",
        host(route),
        prefix(route),
        "idempotent",
        "2s",
        "1s",
        1,
        2,
        None if is_split else parts[0][0],
        weighted if is_split else None,
    ]
