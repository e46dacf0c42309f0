"""The budget of second sends that all nodes share without messages."""

import collections

from galenatack.interfaces import clock as clock_interface

SHARE = 0.065
"""Sends that a call earns: a third of the platform's ratio of 0.2. The calls
that a repeated call makes count as repeats where they arrive, and calls are
nested two deep."""

SLACK_SHARE = 0.3
"""Part of the shared slack that nodes may use beyond what calls earn; the rest
is for the nested calls of such repeats."""

BUCKETS = 10
"""Parts of the window in which calls and repeats are counted."""


class AttemptBudget:
    """Counts calls and repeats of each service in a sliding window.

    Each node takes an equal part of the slack, so that the sum over all nodes
    stays within the bound of the deployment.

    Args:
        clock: Source of time.
        window_s: Length of the window.
        slack: Repeats that the deployment allows in a window without calls.
        share: Repeats that each call earns.
    """

    def __init__(
        self,
        *,
        clock: clock_interface.Clock,
        window_s: float,
        slack: float,
        share: float = SHARE,
    ):
        self._clock = clock
        self._share = share
        self._bucket_s = 0.0
        self._slack = 0.0
        self.set_bounds(window_s=window_s, slack=slack)
        self._nodes = 1
        self._calls: dict[str, _Window] = collections.defaultdict(_Window)
        self._repeats: dict[str, _Window] = collections.defaultdict(_Window)

    def set_bounds(self, *, window_s: float, slack: float) -> None:
        """Sets the window and the slack of the deployment."""
        self._bucket_s = window_s / BUCKETS
        self._slack = slack * SLACK_SHARE

    def set_nodes(self, nodes: int) -> None:
        """Sets how many nodes share the slack."""
        self._nodes = max(1, nodes)

    def record_first_attempt(self, service: str) -> None:
        """Counts the first send of a call."""
        self._calls[service].add(self._bucket())

    def has_remaining(self, service: str) -> bool:
        """Tells whether a repeat is allowed now."""
        return self.remaining(service) >= 1

    def remaining(self, service: str) -> float:
        """Returns how many repeats are allowed now."""
        bucket = self._bucket()
        earned = self._calls[service].total(bucket) * self._share
        allowed = earned + self._slack / self._nodes
        return allowed - self._repeats[service].total(bucket)

    def try_spend(self, service: str) -> bool:
        """Takes one repeat; returns False when none is left."""
        if not self.has_remaining(service):
            return False
        self._repeats[service].add(self._bucket())
        return True

    def _bucket(self) -> int:
        return int(self._clock.monotonic_s() / self._bucket_s)


class _Window:
    """Counts by bucket of time."""

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
