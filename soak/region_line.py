"""One direction of the link between two regions."""

import asyncio

DELAY_S = 0.03
BITS_PER_S = 30e6
_BITS = 8


class RegionLine:
    """Delays and paces all bytes from one region to another together.

    Args:
        delay_s: One-way delay.
        bits_per_s: Bandwidth for all connections together.
    """

    def __init__(
        self, *, delay_s: float = DELAY_S, bits_per_s: float = BITS_PER_S
    ):
        self._delay_s = delay_s
        self._bits_per_s = bits_per_s
        self._free_s = 0.0

    def arrival_s(self, size_bytes: int) -> float:
        """Returns when bytes that are sent now have arrived."""
        now_s = asyncio.get_running_loop().time()
        send_s = size_bytes * _BITS / self._bits_per_s
        self._free_s = max(now_s, self._free_s) + send_s
        return self._free_s + self._delay_s
