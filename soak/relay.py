"""A TCP relay whose connections misbehave on request."""

import asyncio
import contextlib
import enum
import socket
import struct

CHUNK_BYTES = 65_536
CLOSE_S = 1.0
PARKED_S = 0.02
"""How often a silenced direction looks whether it may go on."""


_NO_LINGER = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What a relay does with the bytes of its connections."""

    PASS = "pass"
    DELAY = "delay"
    """Each chunk waits."""
    SILENT = "silent"
    """Nothing passes in either direction; connections stay open."""
    ONE_WAY = "one-way"
    """Nothing passes towards the listener's side."""
    REFUSE = "refuse"
    """New connections are reset; open ones go on."""


class Relay:
    """Relays connections of one address to another in this process.

    Args:
        address: host:port to listen on.
        target: host:port behind it.

    Attributes:
        mode: What happens to the bytes now.
        delay_s: Wait of each chunk in the mode `DELAY`.
    """

    def __init__(self, *, address: str, target: str):
        self.address = address
        self.mode = Mode.PASS
        self.delay_s = 0.0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._serving: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Opens the listener."""
        host, port = _split(self.address)
        self._server = await asyncio.start_server(self._serve, host, port)

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in tuple(self._writers):
            if writer.transport.is_closing():
                continue
            raw = writer.get_extra_info("socket")
            # Without lingering, the close sends a reset.
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.transport.abort()

    async def close(self) -> None:
        """Ends the listener and all connections."""
        if self._server is not None:
            self._server.close()
        self.mode = Mode.PASS
        self.reset()
        if self._serving:
            await asyncio.wait(self._serving, timeout=CLOSE_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        serving = asyncio.current_task()
        self._serving.add(serving)
        self._writers.add(writer)
        far_writer = None
        try:
            if self.mode == Mode.REFUSE:
                return
            far_reader, far_writer = await asyncio.open_connection(
                *_split(self._target)
            )
            self._writers.add(far_writer)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._copy(reader, far_writer, False))
                tasks.create_task(self._copy(far_reader, writer, True))
        except* (OSError, _EndedError):
            # An end of either side ends the other one too.
            pass
        finally:
            self._serving.discard(serving)
            for item in (writer, far_writer):
                if item is not None:
                    self._writers.discard(item)
                    item.transport.abort()

    async def _copy(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        while True:
            chunk = await source.read(CHUNK_BYTES)
            while self._is_parked(is_answer):
                await asyncio.sleep(PARKED_S)
            if self.mode == Mode.DELAY:
                await asyncio.sleep(self.delay_s)
            if not chunk:
                with contextlib.suppress(OSError):
                    await sink.drain()
                raise _EndedError
            sink.write(chunk)
            await sink.drain()

    def _is_parked(self, is_answer: bool) -> bool:
        if self.mode == Mode.SILENT:
            return True
        return self.mode == Mode.ONE_WAY and is_answer


class _EndedError(Exception):
    """One side closed its connection."""


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
