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
    """Judges each route separately, since a sum over routes could hide a fault.

    Args:
        policy: Policy of the profile.
        from_version: Old target version.
        to_version: New target version.
        duration_ms: Time from the start of the move to the promised time.
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
        self._service_errors = old_rate.OldRate()
        self._service_slow = old_rate.OldRate()
        self._judges: dict[str, route_judge.RouteJudge] = {}

    def observe(
        self, windows: collections.abc.Sequence[route_window.RouteWindow]
    ) -> None:
        """Adds the outcomes of one period, all versions and data centres."""
        by_route: dict[str, list[route_window.RouteWindow]] = {}
        for window in windows:
            by_route.setdefault(window.route, []).append(window)
        pairs = {
            route: self._pairs(route, route_windows)
            for route, route_windows in sorted(by_route.items())
        }
        is_incident = self._is_incident(windows, pairs)
        for route, route_pairs in pairs.items():
            self._judge(route).observe(route_pairs, is_incident=is_incident)

    def _pairs(
        self, route: str, windows: list[route_window.RouteWindow]
    ) -> dict[str, tuple[route_window.RouteWindow, route_window.RouteWindow]]:
        """Returns the (new, old) windows by data centre."""
        by_key = {
            (window.data_centre, window.version): window for window in windows
        }
        return {
            data_centre: (
                _window_or_empty(by_key, route, data_centre, self._to_version),
                _window_or_empty(
                    by_key, route, data_centre, self._from_version
                ),
            )
            for data_centre in {window.data_centre for window in windows}
        }

    def _judge(self, route: str) -> route_judge.RouteJudge:
        judge = self._judges.get(route)
        if judge is None:
            judge = self._judges[route] = route_judge.RouteJudge(
                route,
                policy=self._policy,
                horizon_windows=self._horizon_windows,
            )
        return judge

    def _is_incident(
        self,
        windows: collections.abc.Sequence[route_window.RouteWindow],
        pairs: dict[
            str,
            dict[
                str, tuple[route_window.RouteWindow, route_window.RouteWindow]
            ],
        ],
    ) -> bool:
        """Returns whether the old version is degraded across all routes."""
        old = [
            window for window in windows if window.version == self._from_version
        ]
        self._service_errors.add(
            sum(window.calls for window in old),
            sum(window.errors for window in old),
        )
        slow = [self._judge(route).old_slow(pairs[route]) for route in pairs]
        self._service_slow.add(
            sum(counts[0] for counts in slow), sum(counts[1] for counts in slow)
        )
        return (
            self._service_errors.is_elevated or self._service_slow.is_elevated
        )

    def verdicts(
        self, *, step: int = 0
    ) -> tuple[route_verdict.RouteVerdict, ...]:
        """Returns the verdicts of all routes that had calls."""
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
        """Returns whether every route that had calls is clear for a step."""
        verdicts = self.verdicts(step=step)
        return bool(verdicts) and all(
            verdict.judgement == route_verdict.Judgement.CLEAR
            for verdict in verdicts
        )

    def is_suspected(self) -> bool:
        """Returns whether any route is suspected."""
        return any(verdict.is_suspected for verdict in self.verdicts())


def _window_or_empty(
    by_key: dict[tuple[str, str], route_window.RouteWindow],
    route: str,
    data_centre: str,
    version: str,
) -> route_window.RouteWindow:
    window = by_key.get((data_centre, version))
    if window is not None:
        return window
    return route_window.RouteWindow(
        route, version, data_centre, 0, 0, 0, _NO_BUCKETS
    )
