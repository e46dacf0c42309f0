"""Classes of requests by what they cost, learned for each route."""

import collections
import logging

from galenatack.estimates import cost_class
from galenatack.estimates import request_features

_LOGGER = logging.getLogger(__name__)

MAX_ROUTES = 32
"""Routes whose requests are estimated; the one unused for longest goes."""

MAX_CLASSES = 32
"""Classes that are split off, of all routes together."""

MAX_ROUTE_CLASSES = 8
MIN_WORK_MS = 0.1
"""Shorter times are not told from each other by clocks and reports in ms."""


class CostClasses:
    """Classes of requests by what they cost, learned for each route."""

    def __init__(self):
        self._roots: collections.OrderedDict[str, cost_class.CostClass] = (
            collections.OrderedDict()
        )
        self._split: collections.Counter[str] = collections.Counter()

    @property
    def split_total(self) -> int:
        """Number of classes that are split off."""
        return self._split.total()

    def is_split(self, route: str) -> bool:
        """Returns whether requests of a route differ in a visible way."""
        return self._split[route] > 0

    def find(
        self, route: str, features: request_features.RequestFeatures
    ) -> cost_class.CostClass | None:
        """Returns the class of a request; None before the first answer."""
        found = self._roots.get(route)
        if found is None:
            return None
        while (child := found.child(features)) is not None:
            found = child
        return found

    def record(
        self,
        route: str,
        features: request_features.RequestFeatures,
        work_ms: float,
    ) -> None:
        """Adds the work of one answered request."""
        self._use(route)
        parent, found = None, self._roots[route]
        while (child := found.child(features)) is not None:
            parent, found = found, child
        found.record(features, max(MIN_WORK_MS, work_ms))
        if self._may_split(route) and (key := found.split()):
            self._split[route] += 1
            _log("cost-class-split", route, found.children[key])
        if parent and not found.samples % cost_class.MERGE_PERIOD:
            for _ in parent.merge():
                self._split[route] -= 1
                _log("cost-class-merged", route, parent)

    def _use(self, route: str) -> None:
        if route in self._roots:
            self._roots.move_to_end(route)
            return
        self._roots[route] = cost_class.CostClass(route)
        if len(self._roots) > MAX_ROUTES:
            oldest, _ = self._roots.popitem(last=False)
            del self._split[oldest]

    def _may_split(self, route: str) -> bool:
        return (
            self._split[route] < MAX_ROUTE_CLASSES
            and self.split_total < MAX_CLASSES
        )


def _log(event: str, route: str, found: cost_class.CostClass) -> None:
    _LOGGER.info(
        "event=%s route=%s class=%r cost_ms=%.1f",
        event,
        route,
        found.label,
        found.cost_ms,
    )
