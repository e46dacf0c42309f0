"""One direction of a connection between two regions."""

import asyncio

from soak import region_line

MAX_BYTES_UNDERWAY = 512 * 1024


class LineWriter:
    """Passes the bytes of one connection over a line, in order.

    Args:
        line: The line; None passes them on at once.
        sink: Receives the bytes.
    """

    def __init__(
        self, *, line: region_line.RegionLine | None, sink: asyncio.StreamWriter
    ):
        self._line = line
        self._sink = sink
        self._underway: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue()
        self._bytes_underway = 0
        self._has_room = asyncio.Event()

    async def write(self, chunk: bytes) -> None:
        """Sends bytes; waits while too many are underway."""
        if self._line is None:
            self._sink.write(chunk)
            await self._sink.drain()
            return
        while self._bytes_underway >= MAX_BYTES_UNDERWAY:
            self._has_room.clear()
            await self._has_room.wait()
        self._bytes_underway += len(chunk)
        self._underway.put_nowait((self._line.arrival_s(len(chunk)), chunk))

    async def drain(self) -> None:
        """Returns when all bytes have arrived."""
        if self._line is not None:
            await self._underway.join()
        await self._sink.drain()

    async def deliver(self) -> None:
        """Passes bytes on when they have arrived, until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            arrival_s, chunk = await self._underway.get()
            await asyncio.sleep(arrival_s - loop.time())
            self._sink.write(chunk)
            await self._sink.drain()
            self._bytes_underway -= len(chunk)
            self._has_room.set()
            self._underway.task_done()
