"""Counters and histograms of calls."""

import collections

import hdrh.histogram

from galenatack.timeline import exposition

MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000.0
US_PER_S = 1_000_000
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class CallStats:
    """Counts calls by outcome and keeps histograms of their durations.

    The label sets are bounded: reasons are failure codes and status classes,
    and each duration name has one histogram.
    """

    def __init__(self):
        self._outcomes: collections.Counter[tuple[str, str, str]] = (
            collections.Counter()
        )
        self._attempts: collections.Counter[tuple[str, str, str, str]] = (
            collections.Counter()
        )
        self._histograms: dict[str, hdrh.histogram.HdrHistogram] = {}

    def count(self, side: str, *, outcome: str, reason: str) -> None:
        """Counts a finished call on the side of the `router` or the `gate`."""
        self._outcomes[side, outcome, reason] += 1

    def count_attempt(
        self, side: str, *, service: str, is_retry: bool, end: str
    ) -> None:
        """Counts a first attempt or a retry, by service.

        Args:
            side: `router` where it is sent, `gate` where it reaches its target.
            service: Name of the called service.
            is_retry: Whether an earlier attempt has reached a target.
            end: `sent` for the router; for the gate `refused` if the target
                refused it, otherwise `ran`.
        """
        kind = "retry" if is_retry else "first"
        self._attempts[side, service, kind, end] += 1

    def record_ms(self, name: str, duration_ms: float) -> None:
        """Adds a duration to the histogram with this name."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = hdrh.histogram.HdrHistogram(
                1, MAX_DURATION_US, SIGNIFICANT_DIGITS
            )
        value_us = int(duration_ms * US_PER_MS)
        histogram.record_value(min(MAX_DURATION_US, max(1, value_us)))

    def samples(self) -> list[str]:
        """Returns the metrics, one line for each sample."""
        lines = [
            exposition.sample(
                "calls_total",
                count,
                {"side": side, "outcome": outcome, "reason": reason},
            )
            for (side, outcome, reason), count in sorted(self._outcomes.items())
        ]
        for (side, service, kind, end), count in sorted(self._attempts.items()):
            labels = {"side": side, "service": service, "kind": kind}
            lines.append(
                exposition.sample(
                    "attempts_total", count, labels | {"end": end}
                )
            )
        for name, histogram in sorted(self._histograms.items()):
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
