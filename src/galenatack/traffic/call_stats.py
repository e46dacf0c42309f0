"""Counters and histograms of calls."""

import collections

import hdrh.histogram

from galenatack.timeline import exposition

LONGEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000.0
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class CallStats:
    """Counts calls by their end and keeps histograms of their times.

    The label sets are bounded: ends are the failure codes and status classes
    of this program, times are one histogram each.
    """

    def __init__(self):
        self._ends: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._times: dict[str, hdrh.histogram.HdrHistogram] = {}

    def count(self, side: str, *, outcome: str, reason: str) -> None:
        """Counts the end of a call at the `router` or the `gate`."""
        self._ends[side, outcome, reason] += 1

    def record_ms(self, name: str, duration_ms: float) -> None:
        """Adds a time to the histogram of a name."""
        histogram = self._times.get(name)
        if histogram is None:
            histogram = self._times[name] = hdrh.histogram.HdrHistogram(
                1, LONGEST_US, SIGNIFICANT_DIGITS
            )
        value_us = int(duration_ms * US_PER_MS)
        histogram.record_value(min(LONGEST_US, max(1, value_us)))

    def samples(self) -> list[str]:
        """Returns one line for each sample."""
        lines = [
            exposition.sample(
                "calls_total",
                count,
                {"side": side, "outcome": outcome, "reason": reason},
            )
            for (side, outcome, reason), count in sorted(self._ends.items())
        ]
        for name, histogram in sorted(self._times.items()):
            labels = {"span": name}
            total = histogram.get_total_count()
            lines.append(
                exposition.sample("call_duration_count", total, labels)
            )
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile)
                quantile = {"quantile": f"{percentile / 100:g}"}
                lines.append(
                    exposition.sample(
                        "call_duration_seconds",
                        value / US_PER_S,
                        labels | quantile,
                    )
                )
        return lines
