"""Limits the concurrent state transfers that a node serves."""

from galenatack.interfaces import clock
from galenatack.interfaces import random_source
from galenatack.messages import busy
from galenatack.messages import delta

MAX_TRANSFERS = 2
# Deltas up to this size belong to normal propagation and are not limited.
SMALL_DELTA_BYTES = 16_384
# Half of the 30 Mbit/s between regions; one transfer leaves room for others.
TRANSFER_BYTES_PER_S = 1_900_000
_BUSY_MIN_MS = 100
_BUSY_SPREAD_MS = 900
_ENTRY_OVERHEAD_BYTES = 160


class TransferLimiter:
    """Limits transfers by the time that they are expected to take.

    The peer network sends a reply after its handler has returned, so the end
    of a transfer is estimated from its size.
    """

    def __init__(self, *, clock: clock.Clock, rng: random_source.RandomSource):
        self._clock = clock
        self._rng = rng
        self._ends_s: list[float] = []

    def admit(self, message: delta.Delta) -> delta.Delta | busy.Busy:
        """Returns the delta, or `Busy` at the limit of transfers."""
        size_bytes = sum(
            len(item.body) + _ENTRY_OVERHEAD_BYTES for item in message.entries
        )
        if size_bytes <= SMALL_DELTA_BYTES:
            return message
        now_s = self._clock.monotonic_s()
        self._ends_s = [end_s for end_s in self._ends_s if end_s > now_s]
        if len(self._ends_s) >= MAX_TRANSFERS:
            return self.busy()
        self._ends_s.append(now_s + size_bytes / TRANSFER_BYTES_PER_S)
        return message

    def busy(self) -> busy.Busy:
        """Returns a refusal with a jittered retry delay."""
        return busy.Busy(_BUSY_MIN_MS + self._rng.randrange(_BUSY_SPREAD_MS))
