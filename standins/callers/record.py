"""Results recorded by the stand-in callers."""

import collections
import typing

import hdrh.histogram

_MAX_LATENCY_US = 600_000_000
_DIGITS = 3
_US_PER_S = 1_000_000
_US_PER_MS = 1000
_PERCENTILES = (50.0, 99.0, 99.9)


class Record:
    """Counts of final outcomes, wrong answers and latencies.

    Attributes:
        outcomes: Calls by kind and final outcome.
        statuses: Answers by HTTP status.
        replies: Attempts by outcome and, if unanswered, error code.
        wrong: Answers that do not belong to their request.
        attempts: Requests sent.
        answered_keys: Keys of postings answered with status 200.
    """

    def __init__(self):
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.statuses: collections.Counter[int] = collections.Counter()
        self.replies: collections.Counter[str] = collections.Counter()
        self.wrong: list[str] = []
        self.attempts = 0
        self.answered_keys: set[str] = set()
        self._latencies = hdrh.histogram.HdrHistogram(
            1, _MAX_LATENCY_US, _DIGITS
        )

    def end(self, kind: str, outcome: str, elapsed_s: float) -> None:
        """Records the outcome of a call."""
        self.outcomes[f"{kind} {outcome}"] += 1
        if outcome == "answer":
            elapsed_us = max(1, int(elapsed_s * _US_PER_S))
            self._latencies.record_value(elapsed_us)

    def as_json(self) -> dict[str, typing.Any]:
        """Returns the summary as a JSON value."""
        latency_ms = {
            f"p{percentile:g}": self._latencies.get_value_at_percentile(
                percentile
            )
            / _US_PER_MS
            for percentile in _PERCENTILES
        }
        return {
            "calls": self.outcomes.total(),
            "attempts": self.attempts,
            "outcomes": dict(sorted(self.outcomes.items())),
            "statuses": dict(sorted(self.statuses.items())),
            "replies": dict(sorted(self.replies.items())),
            "wrong": len(self.wrong),
            "wrong_examples": self.wrong[:5],
            "answered_postings": len(self.answered_keys),
            "latency_ms": latency_ms,
        }
