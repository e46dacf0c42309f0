"""A TCP relay with injectable network faults."""

import asyncio
import collections.abc
import contextlib
import enum
import socket
import struct

from soak import line_writer
from soak import region_line

CHUNK_BYTES = 65_536
CLOSE_S = 1.0
BLOCKED_POLL_S = 0.02
"""Interval at which a blocked direction checks whether it may continue."""


_Line = region_line.RegionLine | None
_LinesOf = collections.abc.Callable[[tuple[str, int]], tuple[_Line, _Line]]
_NO_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """How a relay treats the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    """Each chunk is delayed."""
    SILENT = "silent"
    """Both directions are blocked; connections stay open."""
    ONE_WAY = "one-way"
    """Bytes towards the client are blocked."""
    UNANSWERED = "unanswered"
    """Bytes towards the client are lost, and all later ones on the same
    connection with them."""
    REFUSE = "refuse"
    """New connections are reset; open ones continue."""


class Relay:
    """Forwards connections from one address to another, in this process.

    Args:
        address: host:port to listen on.
        target: host:port to forward to.

    Attributes:
        mode: Current treatment of the bytes.
        delay_s: Delay of each chunk in mode `DELAY`.
        lines_of: Returns the lines to the target and back for the address of
            a client; None for those of its own region.
    """

    def __init__(self, *, address: str, target: str):
        self.address = address
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self.lines_of: _LinesOf = lambda client: (None, None)
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._connection_tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens the listener."""
        host, port = split(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in tuple(self._writers):
            if writer.transport.is_closing():
                continue
            raw = writer.get_extra_info("socket")
            # With a linger time of 0, closing sends a reset.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.transport.abort()

    async def close(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.mode = Mode.PASS
        self.reset()
        if self._connection_tasks:
            await asyncio.wait(self._connection_tasks, timeout=CLOSE_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection_task = asyncio.current_task()
        self._connection_tasks.add(connection_task)
        self._writers.add(writer)
        target_writer = None
        try:
            if self.mode == Mode.REFUSE:
                return
            target_reader, target_writer = await asyncio.open_connection(
                *split(self._target)
            )
            self._writers.add(target_writer)
            there, back = self.lines_of(writer.get_extra_info("peername"))
            to_target = line_writer.LineWriter(line=there, sink=target_writer)
            to_client = line_writer.LineWriter(line=back, sink=writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._copy(reader, to_target, False))
                tasks.create_task(self._copy(target_reader, to_client, True))
                tasks.create_task(to_target.deliver())
                tasks.create_task(to_client.deliver())
        except* (OSError, _EndedError):
            # When one side closes, the other one is closed too.
            pass
        finally:
            self._connection_tasks.discard(connection_task)
            for stream in (writer, target_writer):
                if stream is not None:
                    self._writers.discard(stream)
                    stream.transport.abort()

    async def _copy(
        self,
        source: asyncio.StreamReader,
        sink: line_writer.LineWriter,
        is_answer: bool,
    ) -> None:
        while True:
            chunk = await source.read(CHUNK_BYTES)
            if is_answer and chunk and self.mode == Mode.UNANSWERED:
                # The other direction ends when the client gives up.
                await asyncio.Event().wait()
            while self._is_blocked(is_answer):
                await asyncio.sleep(BLOCKED_POLL_S)
            if self.mode == Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if not chunk:
                with contextlib.suppress(OSError):
                    await sink.drain()
                raise _EndedError
            await sink.write(chunk)

    def _is_blocked(self, is_answer: bool) -> bool:
        if self.mode == Mode.SILENT:
            return True
        return self.mode == Mode.ONE_WAY and is_answer


class _EndedError(Exception):
    """One side closed its connection."""


def split(address: str) -> tuple[str, int]:
    """Returns host and port of an address."""
    host, _, port = address.rpartition(":")
    return host, int(port)
