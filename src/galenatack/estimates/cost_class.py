"""One class of requests whose costs are alike."""

import math

from galenatack.estimates import request_features
from galenatack.estimates import sample_stats

SMOOTHING = 0.02
"""Weight of the latest sample: an estimate follows a change of the costs within
about 50 calls, and varies by a tenth of their spread."""

MAX_VALUES = 8
"""Number of values of one feature that are watched in a class."""

MIN_SAMPLES = 24
"""Number of samples on both sides from which a value may be split off."""

TEST_PERIOD = 32
"""Number of samples between two tests of a class."""

MIN_FACTOR = 1.3
"""A smaller difference is less than what the costs in a class differ."""

MIN_SIGNIFICANCE = 4.0
"""In standard errors. A class is tested about every 32 samples for some ten
values, so that three would be reached by chance within an hour."""

MERGE_FACTOR = 1.15
"""A class nearer to its parent is merged; less than `MIN_FACTOR`, so that noise
does not split and merge it in turn."""

MERGE_PERIOD = 256
WINDOW = 4096
"""Number of samples after which the watched values start anew."""

_Key = tuple[int, str]


class CostClass:
    """One class of requests, with those that were split off from it.

    Args:
        label: What its requests have in common, for people.
        stats: Samples that it begins with.

    Attributes:
        label: What its requests have in common, for people.
        children: Classes that were split off, by feature and value.
        samples: Number of samples, which grows until `WINDOW`.
        cost_ms: Mean work of its requests.
    """

    def __init__(
        self, label: str, stats: sample_stats.SampleStats | None = None
    ):
        self.label = label
        self.children: dict[_Key, CostClass] = {}
        self.samples = stats.count if stats else 0
        self.cost_ms = stats.mean if stats else 0.0
        self._reset()

    def _reset(self) -> None:
        self._all = sample_stats.SampleStats()
        self._values: list[dict[str, sample_stats.SampleStats]] = [
            {} for _ in request_features.RequestFeatures._fields
        ]
        self._only: list[str | None] = [None] * len(self._values)
        self._strangers = [0] * len(self._values)

    def child(
        self, features: request_features.RequestFeatures
    ) -> "CostClass | None":
        """Returns the class that was split off for such a request."""
        for (index, value), child in self.children.items():
            if features[index] == value:
                return child
        return None

    def record(
        self, features: request_features.RequestFeatures, work_ms: float
    ) -> None:
        """Adds the work of one request."""
        self.samples = min(self.samples + 1, WINDOW)
        weight = max(SMOOTHING, 1.0 / self.samples)
        self.cost_ms += weight * (work_ms - self.cost_ms)
        if self._all.count >= WINDOW:
            self._reset()
        log = math.log(work_ms)
        for index, value in enumerate(features):
            stats = self._watched(index, value)
            if stats is not None:
                stats.add(work_ms, log)
        self._all.add(work_ms, log)

    def _watched(
        self, index: int, value: str
    ) -> sample_stats.SampleStats | None:
        """Returns the statistics of a value, None if it has none of its own.

        The only value of a feature has those of the class.
        """
        values = self._values[index]
        if not values:
            only = self._only[index]
            if only is None or only == value:
                self._only[index] = value
                return None
            values[only] = self._all.copy()
        return values.get(value) or self._watch(index, value)

    def _watch(self, index: int, value: str) -> sample_stats.SampleStats | None:
        """Watches a new value, unless others are more frequent.

        A value that does not occur more often than unwatched ones together
        gives up its place (Misra-Gries), so identifiers in paths do not hold
        the places for long.
        """
        values = self._values[index]
        if len(values) >= MAX_VALUES:
            self._strangers[index] += 1
            rarest = min(values, key=lambda known: values[known].count)
            if values[rarest].count * MAX_VALUES > self._strangers[index]:
                return None
            self._strangers[index] = 0
            del values[rarest]
        stats = values[value] = sample_stats.SampleStats()
        return stats

    def split(self) -> _Key | None:
        """Splits off the value that differs most, if one does.

        Returns:
            Feature and value of the new class; None without one.
        """
        if self._all.count % TEST_PERIOD:
            return None
        best: _Key | None = None
        most = MIN_SIGNIFICANCE
        for index, values in enumerate(self._values):
            for value, stats in values.items():
                rest = self._all.without(stats)
                if min(stats.count, rest.count) < MIN_SAMPLES:
                    continue
                factor, significance = stats.distance(rest)
                if factor >= MIN_FACTOR and significance > most:
                    best, most = (index, value), significance
        if best is not None:
            self._split_off(best)
        return best

    def _split_off(self, key: _Key) -> None:
        stats = self._values[key[0]][key[1]]
        name = request_features.RequestFeatures._fields[key[0]]
        self.children[key] = CostClass(
            f"{self.label} {name}={key[1] or '-'}", stats
        )
        rest = self._all.without(stats)
        self.samples, self.cost_ms = rest.count, rest.mean
        self._reset()

    def merge(self) -> list[_Key]:
        """Merges the classes that do not differ from this one any more."""
        alike = [
            key
            for key, child in self.children.items()
            if not child.children
            and child.samples >= MERGE_PERIOD
            and _factor(child.cost_ms, self.cost_ms) < MERGE_FACTOR
            and self.samples >= MIN_SAMPLES
        ]
        for key in alike:
            del self.children[key]
        return alike


def _factor(one_ms: float, two_ms: float) -> float:
    low_ms, high_ms = sorted((one_ms, two_ms))
    return high_ms / low_ms if low_ms > 0 else float("inf")
