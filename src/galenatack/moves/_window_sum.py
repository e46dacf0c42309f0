"""Accumulates the report differences of several gates."""

import collections

from galenatack.moves import route_window


class WindowSum:
    """Accumulates the report differences of several gates."""

    def __init__(self):
        self.calls = 0
        self.errors = 0
        self.warm_calls = 0
        self.buckets: collections.Counter[int] = collections.Counter()

    def window(self, key: tuple[str, str, str]) -> route_window.RouteWindow:
        """Returns the sum as a window of (route, version, data centre)."""
        route, version, data_centre = key
        return route_window.RouteWindow(
            route,
            version,
            data_centre,
            self.calls,
            self.errors,
            self.warm_calls,
            dict(self.buckets),
        )
