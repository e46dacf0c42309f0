"""Writes log lines without ever waiting for their reader."""

import asyncio
import collections
import logging
import os

MAX_LINES = 2000
"""Lines that wait for a slow reader; about half a megabyte."""

FLUSH_S = 0.1
"""Lines are written together, because each write costs a system call. A crash
loses at most this much of the log."""

_MAX_WRITE_LINES = 200


class LogWriter(logging.Handler):
    """Buffers formatted lines and writes them to a file descriptor.

    Lines that find the buffer full are dropped and counted; the count is
    written once there is room again.

    Args:
        descriptor: Where the lines go; it is set not to block.
        max_lines: Lines that are buffered.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(self, *, descriptor: int, max_lines: int = MAX_LINES):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: collections.deque[bytes] = collections.deque()
        self._rest = b""
        self._unreported = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a line; errors and lines without a loop go out at once."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            self._unreported += 1
            return
        try:
            self._lines.append(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)
            return
        if not self._flush_later() or record.levelno >= logging.ERROR:
            self.flush()

    def flush(self) -> None:
        """Writes what the reader takes now."""
        try:
            while self._lines or self._rest:
                if not self._rest:
                    self._rest = self._next_chunk()
                written = os.write(self._descriptor, self._rest)
                self._rest = self._rest[written:]
        except BlockingIOError:
            # The reader is slow: the rest goes with the next flush.
            return
        except OSError:
            # Nobody reads any more; there is nowhere to say so.
            self.dropped += len(self._lines)
            self._lines.clear()
            self._rest = b""

    def _next_chunk(self) -> bytes:
        count = min(len(self._lines), _MAX_WRITE_LINES)
        lines = [self._lines.popleft() for _ in range(count)]
        if self._unreported:
            lines.append(
                b"level=WARNING event=log-lines-lost lines=%d\n"
                % self._unreported
            )
            self._unreported = 0
        return b"".join(lines)

    def _flush_later(self) -> bool:
        """Plans a flush; returns False when no event loop runs here."""
        if self._timer is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._timer = loop.call_later(FLUSH_S, self._flush_now)
        return True

    def _flush_now(self) -> None:
        self._timer = None
        self.flush()
        if self._lines or self._rest:
            self._flush_later()
