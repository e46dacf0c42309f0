"""Attempts of this process that did not run and never will."""

import collections

MAX_ATTEMPTS = 20_000


class AbandonedAttempts:
    """Bounded set of recent attempts whose claim row may still exist.

    Evicting an attempt is safe: its state is then reported as `unknown`.
    """

    def __init__(self, *, max_attempts: int = MAX_ATTEMPTS):
        self._max_attempts = max_attempts
        self._attempts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._attempts

    def add(self, attempt: str) -> None:
        """Adds an attempt; evicts the oldest one if the set is full."""
        self._attempts[attempt] = None
        if len(self._attempts) > self._max_attempts:
            self._attempts.popitem(last=False)
