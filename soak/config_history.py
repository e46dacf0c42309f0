"""What each version of the configuration says, and since when it binds."""

import bisect
import collections
import math

Services = frozenset[str]
NONE: Services = frozenset()


class ConfigHistory:
    """What each version of the configuration says, and since when it binds.

    Attributes:
        versions: All versions, in ascending order.
        written_s: Time at which each was written first.
    """

    def __init__(self):
        self.versions: list[int] = []
        self.written_s: dict[int, float] = {}
        # By version: from when an acknowledgement counts, and when it came.
        self._acks: dict[int, list[tuple[float, float]]] = {}
        self._runs: dict[int, list[tuple[int, Services]]] = (
            collections.defaultdict(list)
        )

    def add(
        self, version: int, routes: dict[int, Services], *, now_s: float
    ) -> None:
        """Adds a version that is being written.

        Args:
            version: The version, above all others.
            routes: Services of each route that it changes; none for a route
                that it removes.
            now_s: Time at which it is written.
        """
        self.versions.append(version)
        self.written_s[version] = now_s
        self._acks[version] = [(now_s, now_s)]
        for route, services in routes.items():
            self._runs[route].append((version, services))

    def lose(self, *, kept: int, now_s: float) -> None:
        """The store has lost all versions above one."""
        for version in self._above(kept):
            self._acks[version].append((now_s, math.inf))

    def rewrite(self, *, now_s: float) -> None:
        """The operator has written the newest version again."""
        for acks in self._acks.values():
            if acks[-1][1] == math.inf:
                acks[-1] = (acks[-1][0], now_s)

    def acknowledged_s(self, version: int, at_s: float) -> float:
        """Returns since when a version is acknowledged, as of a moment."""
        acks = self._acks[version]
        return max(
            (ack for ack in acks if ack[0] <= at_s), default=(0.0, math.inf)
        )[1]

    def after(self, version: int) -> int | None:
        """Returns the version that follows another one, if any."""
        return next(iter(self._above(version)), None)

    def services(self, route: int, version: int) -> Services:
        """Returns the services of a route; none if a version lacks it."""
        runs = self._runs.get(route, [])
        index = bisect.bisect_right(runs, version, key=lambda run: run[0])
        return runs[index - 1][1] if index else NONE

    def matching(self, route: int, service: str, *, by_s: float) -> list[int]:
        """Returns the versions that explain an outcome, in ascending order.

        Args:
            route: The route of a request.
            service: Service that ran it; empty if it was answered with 404.
            by_s: Time of the answer; later versions don't explain it.
        """
        matching = []
        for version in self.versions:
            if self.written_s[version] > by_s:
                break
            services = self.services(route, version)
            if service in services if service else not services:
                matching.append(version)
        return matching

    def _above(self, version: int) -> list[int]:
        return self.versions[bisect.bisect_right(self.versions, version) :]
