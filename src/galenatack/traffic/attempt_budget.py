"""Retry budget that all nodes share without exchanging messages."""

import collections

from galenatack.interfaces import clock as clock_interface

RETRIES_PER_CALL = 0.065
"""Retries that each call adds to the budget: a third of the platform's ratio
of 0.2. The nested calls of a retried call count as retries of the services they
reach, and calls are nested two deep."""

DIRECT_SLACK_SHARE = 0.3
"""Share of the slack that nodes may use for their own retries; the rest is
reserved for the nested calls of those retries."""

BUCKETS = 10
"""Number of counting buckets in the window."""


class AttemptBudget:
    """Counts calls and retries of each service in a sliding window.

    Each node uses an equal part of the slack, which keeps the sum over all
    nodes within the bound of the deployment.

    Args:
        clock: Source of time.
        window_s: Length of the window in seconds.
        slack: Retries that the deployment allows in a window without calls.
        retries_per_call: Retries that each call adds to the budget.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        window_s: float,
        slack: float,
        retries_per_call: float = RETRIES_PER_CALL,
    ):
        self._clock = clock
        self._retries_per_call = retries_per_call
        self._bucket_s = 0.0
        self._slack = 0.0
        self.set_bounds(window_s=window_s, slack=slack)
        self._nodes = 1
        self._calls: dict[str, _Window] = collections.defaultdict(_Window)
        self._retries: dict[str, _Window] = collections.defaultdict(_Window)

    def set_bounds(self, *, window_s: float, slack: float) -> None:
        """Sets the window and the slack of the deployment."""
        self._bucket_s = window_s / BUCKETS
        self._slack = slack * DIRECT_SLACK_SHARE

    def set_nodes(self, nodes: int) -> None:
        """Sets how many nodes share the slack."""
        self._nodes = max(1, nodes)

    def record_first_attempt(self, service: str) -> None:
        """Counts the first attempt of a call."""
        self._calls[service].add(self._bucket())

    def services(self) -> list[str]:
        """Returns the services that have had calls, in order."""
        return sorted(self._calls)

    def has_remaining(self, service: str) -> bool:
        """Returns whether a retry is allowed now."""
        return self.remaining(service) >= 1

    def remaining(self, service: str) -> float:
        """Returns how many retries are allowed now."""
        bucket = self._bucket()
        earned = self._calls[service].total(bucket) * self._retries_per_call
        allowed = earned + self._slack / self._nodes
        return allowed - self._retries[service].total(bucket)

    def try_spend(self, service: str) -> bool:
        """Spends one retry; returns False if none is left."""
        if not self.has_remaining(service):
            return False
        self._retries[service].add(self._bucket())
        return True

    def _bucket(self) -> int:
        return int(self._clock.monotonic_s() / self._bucket_s)


class _Window:
    """A sliding window of counts, one for each time bucket."""

    def __init__(self):
        self._counts: collections.deque[list[int]] = collections.deque()
        self._sum = 0

    def add(self, bucket: int) -> None:
        self._expire(bucket)
        if not self._counts or self._counts[-1][0] != bucket:
            self._counts.append([bucket, 0])
        self._counts[-1][1] += 1
        self._sum += 1

    def total(self, bucket: int) -> int:
        self._expire(bucket)
        return self._sum

    def _expire(self, bucket: int) -> None:
        while self._counts and self._counts[0][0] <= bucket - BUCKETS:
            self._sum -= self._counts.popleft()[1]
