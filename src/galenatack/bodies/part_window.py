"""Limits how much of all bodies is on the way to this node at a time."""

import asyncio
import heapq
import itertools

MAX_PARTS = 4
"""Parts on the way at a time, of all bodies together. With parts of 8 KB, a
small message waits at most 52 ms behind them on a link of 5 Mbit/s, and one
body gets 500 kB/s over a round trip of 64 ms."""


class PartWindow:
    """Grants permits for parts, the most urgent body first.

    Load that this answers: many callers that send long bodies to a few targets
    behind slow links. The receiver's link is the bottleneck, and only the
    receiver knows what is on the way to it.

    Args:
        max_parts: Permits.
    """

    def __init__(self, *, max_parts: int = MAX_PARTS):
        self._free = max_parts
        self._numbers = itertools.count()
        self._waiting: list[
            tuple[tuple[int, float], int, asyncio.Future[None]]
        ] = []

    async def acquire(self, order: tuple[int, float]) -> None:
        """Waits for a permit.

        Args:
            order: Priority of the call and its turn within that; the lowest
                goes first.
        """
        if self._free and not self._waiting:
            self._free -= 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (order, next(self._numbers), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Returns a permit, which goes to the most urgent body that waits."""
        while self._waiting:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                future.set_result(None)
                return
        self._free += 1
