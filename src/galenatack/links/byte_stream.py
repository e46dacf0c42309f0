"""A plain TCP stream for httpcore connections, on an asyncio protocol."""

import asyncio
import typing

import httpcore


class ByteStream(asyncio.Protocol, httpcore.AsyncNetworkStream):
    """Implements `httpcore.AsyncNetworkStream` without timers.

    The caller bounds the time of a whole call; httpcore's own backend sets up
    and tears down a timer for each read and write. It also asks the kernel
    whether an idle connection was closed; a protocol is told.
    """

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._parts: list[bytes] = []
        self._is_closed = False
        self._reader: asyncio.Future[None] | None = None
        self._writer: asyncio.Future[None] | None = None
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Keeps data and wakes the reader."""
        self._parts.append(data)
        _wake(self._reader)

    def eof_received(self) -> None:
        """Wakes the reader; the transport then closes itself."""
        self._is_closed = True
        _wake(self._reader)

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes the reader and the writer."""
        del exc
        self._is_closed = True
        _wake(self._reader)
        _wake(self._writer)

    def pause_writing(self) -> None:
        """Holds back the writer."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Lets the writer go on."""
        self._is_paused = False
        _wake(self._writer)

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Returns what has arrived, or an empty string at the end."""
        del max_bytes, timeout
        if not self._parts and not self._is_closed:
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        data = b"".join(self._parts)
        self._parts.clear()
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends bytes; waits while the kernel's buffer is full.

        Raises:
            httpcore.WriteError: The connection is closed.
        """
        del timeout
        if self._is_closed:
            raise httpcore.WriteError("connection is closed")
        self._transport.write(buffer)
        if self._is_paused:
            self._writer = asyncio.get_running_loop().create_future()
            try:
                await self._writer
            finally:
                self._writer = None

    async def aclose(self) -> None:
        """Closes the connection at once."""
        self._is_closed = True
        self._transport.abort()

    def get_extra_info(self, info: str) -> typing.Any:
        """Answers `is_readable`: an idle connection has ended."""
        if info == "is_readable":
            return self._is_closed or bool(self._parts)
        return None


def _wake(future: "asyncio.Future[None] | None") -> None:
    if future is not None and not future.done():
        future.set_result(None)
