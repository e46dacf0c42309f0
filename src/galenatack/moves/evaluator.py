"""Compares the new version of a move with the old one, route by route."""

import collections.abc

from galenatack.model import move_policy
from galenatack.moves import old_rate
from galenatack.moves import route_judge
from galenatack.moves import route_verdict
from galenatack.moves import route_window

WINDOW_MS = 500
_NO_BUCKETS: dict[int, int] = {}


class Evaluator:
    """Judges each route apart, so that a fault cannot drown in the sum.

    Args:
        policy: Policy of the profile.
        from_version: Old target version.
        to_version: New target version.
        duration_ms: Time from the start to the promised time.
    """

    def __init__(
        self,
        *,
        policy: move_policy.MovePolicy,
        from_version: str,
        to_version: str,
        duration_ms: int,
    ):
        self._policy = policy
        self._from_version = from_version
        self._to_version = to_version
        self._horizon_windows = max(1, duration_ms // WINDOW_MS)
        self._service_rate = old_rate.OldRate()
        self._judges: dict[str, route_judge.RouteJudge] = {}

    def observe(
        self, windows: collections.abc.Sequence[route_window.RouteWindow]
    ) -> None:
        """Adds the outcomes of one period, all versions and data centres."""
        is_incident = self._is_incident(windows)
        by_route: dict[
            str, dict[tuple[str, str], route_window.RouteWindow]
        ] = {}
        for window in windows:
            key = (window.data_centre, window.version)
            by_route.setdefault(window.route, {})[key] = window
        for route, found in sorted(by_route.items()):
            judge = self._judges.get(route)
            if judge is None:
                judge = self._judges[route] = route_judge.RouteJudge(
                    route,
                    policy=self._policy,
                    horizon_windows=self._horizon_windows,
                )
            judge.observe(
                {
                    data_centre: (
                        self._side(found, route, data_centre, self._to_version),
                        self._side(
                            found, route, data_centre, self._from_version
                        ),
                    )
                    for data_centre in {key[0] for key in found}
                },
                is_incident=is_incident,
            )

    def _is_incident(
        self, windows: collections.abc.Sequence[route_window.RouteWindow]
    ) -> bool:
        old = [item for item in windows if item.version == self._from_version]
        self._service_rate.add(
            sum(item.calls for item in old), sum(item.errors for item in old)
        )
        return self._service_rate.is_elevated

    def verdicts(
        self, *, step: int = 0
    ) -> tuple[route_verdict.RouteVerdict, ...]:
        """Returns the judgement of every route that had calls."""
        return tuple(
            judge.verdict(step=step)
            for _, judge in sorted(self._judges.items())
        )

    def faulty(self) -> route_verdict.RouteVerdict | None:
        """Returns the first route on which the new version is faulty."""
        for verdict in self.verdicts():
            if verdict.judgement == route_verdict.Judgement.FAULTY:
                return verdict
        return None

    def is_clear(self, *, step: int = 0) -> bool:
        """Tells whether every route that had calls is clear for a step."""
        verdicts = self.verdicts(step=step)
        return bool(verdicts) and all(
            verdict.judgement == route_verdict.Judgement.CLEAR
            for verdict in verdicts
        )

    def is_suspected(self) -> bool:
        """Tells whether the evidence on some route is against the version."""
        return any(verdict.is_suspected for verdict in self.verdicts())

    def _side(
        self,
        found: dict[tuple[str, str], route_window.RouteWindow],
        route: str,
        data_centre: str,
        version: str,
    ) -> route_window.RouteWindow:
        present = found.get((data_centre, version))
        if present is not None:
            return present
        return route_window.RouteWindow(
            route, version, data_centre, 0, 0, 0, _NO_BUCKETS
        )
