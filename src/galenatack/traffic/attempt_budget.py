"""Retry budget that all nodes share without exchanging messages."""

import collections

from galenatack.admission import retry_slack
from galenatack.admission import sliding_sum
from galenatack.interfaces import clock as clock_interface


class AttemptBudget:
    """Counts the calls of each service and their retries in a sliding window.

    Each node stays within its share of the bound: a ratio of its own calls and
    an equal part of the slack. First attempts that may descend from a retry of
    another service use the budget before the node's own retries do.

    Args:
        clock: Source of time.
        slack: The node's part of the slack, with the bound.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        slack: retry_slack.RetrySlack,
    ):
        self._clock = clock
        self._slack = slack
        self._calls: dict[str, sliding_sum.SlidingSum] = (
            collections.defaultdict(sliding_sum.SlidingSum)
        )
        self._retries: dict[str, sliding_sum.SlidingSum] = (
            collections.defaultdict(sliding_sum.SlidingSum)
        )

    def record_first_attempt(
        self, service: str, *, retry_share: float = 0.0
    ) -> None:
        """Counts the first attempt of a call.

        Args:
            service: Service of the call.
            retry_share: Probability that the call descends from a retry.
        """
        bucket = self._bucket()
        self._calls[service].add(bucket)
        if retry_share:
            self._retries[service].add(bucket, retry_share)

    def services(self) -> list[str]:
        """Returns the services that have had calls, in order."""
        return sorted(self._calls)

    def has_remaining(self, service: str) -> bool:
        """Returns whether a retry is allowed now."""
        return self.remaining(service) >= 1

    def remaining(self, service: str) -> float:
        """Returns how many retries are allowed now."""
        bucket = self._bucket()
        ratio = self._slack.bounds.usable_ratio
        earned = self._calls[service].total(bucket) * ratio
        allowed = earned + self._slack.retries()
        return allowed - self._retries[service].total(bucket)

    def try_spend(self, service: str) -> bool:
        """Spends one retry; returns False if none is left."""
        if not self.has_remaining(service):
            return False
        self._retries[service].add(self._bucket())
        return True

    def _bucket(self) -> int:
        return sliding_sum.bucket_at(
            self._clock.monotonic_s(), self._slack.bounds.window_s
        )
