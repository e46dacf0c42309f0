"""Joins the small writes of one response into one segment."""

import asyncio
import typing

# Larger responses are flushed at once; otherwise flow control would not apply.
_FLUSH_BYTES = 65_536


class JoinedWriter:
    """Replaces the `asyncio.StreamWriter` in hypercorn.

    hypercorn writes the head, the body and the end of a response separately.
    Each write costs a system call and a segment, and wakes up the caller.
    """

    def __init__(self, writer: asyncio.StreamWriter):
        self._writer = writer
        self._parts: list[bytes] = []
        self._size = 0

    def write(self, data: bytes) -> None:
        """Buffers data until the event loop's next iteration."""
        if not data:
            return
        if not self._parts:
            asyncio.get_running_loop().call_soon(self._flush)
        self._parts.append(data)
        self._size += len(data)
        if self._size >= _FLUSH_BYTES:
            self._flush()

    async def drain(self) -> None:
        """Waits while the connection's buffer is full."""
        if not self._parts:
            await self._writer.drain()

    def write_eof(self) -> None:
        """Flushes the buffer, then closes the sending side."""
        self._flush()
        self._writer.write_eof()

    def close(self) -> None:
        """Flushes the buffer, then closes the connection."""
        self._flush()
        self._writer.close()

    async def wait_closed(self) -> None:
        """Waits until the connection is closed."""
        await self._writer.wait_closed()

    def get_extra_info(self, name: str) -> typing.Any:
        """Returns information about the connection."""
        return self._writer.get_extra_info(name)

    def _flush(self) -> None:
        if not self._parts:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        self._size = 0
        if not self._writer.is_closing():
            self._writer.write(data)
