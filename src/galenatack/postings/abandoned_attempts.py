"""Attempts of this process that never ran and never will."""

import collections

MAX_ATTEMPTS = 20_000


class AbandonedAttempts:
    """Remembers the latest attempts whose claim row may still stand.

    Forgetting one is safe: its row then reads as `unknown`.
    """

    def __init__(self, *, max_attempts: int = MAX_ATTEMPTS):
        self._max_attempts = max_attempts
        self._attempts: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._attempts

    def add(self, attempt: str) -> None:
        """Remembers an attempt."""
        self._attempts[attempt] = None
        if len(self._attempts) > self._max_attempts:
            self._attempts.popitem(last=False)
