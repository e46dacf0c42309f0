"""Record of the calls that the stand-in target ran."""

import collections
import typing


class Ledger:
    """Counts starts, in total and by idempotency key.

    Attributes:
        started: Calls that started.
        shed: Calls that were refused before their start.
        cancelled: Calls that were cancelled before their start.
        late_ms: Maximum time between the drain and the start of a call.
    """

    def __init__(self):
        self.started = 0
        self.shed = 0
        self.cancelled = 0
        self.late_ms = 0
        self._keys: collections.Counter[str] = collections.Counter()

    def start(self, key: str) -> None:
        """Records the start of a call."""
        self.started += 1
        if key:
            self._keys[key] += 1

    def as_json(self) -> dict[str, typing.Any]:
        """Returns the ledger as a JSON value."""
        return {
            "keys": dict(self._keys),
            "repeated": sum(count > 1 for count in self._keys.values()),
            "started": self.started,
            "shed": self.shed,
            "cancelled": self.cancelled,
            "late_ms": self.late_ms,
        }
