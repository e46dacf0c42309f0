"""Non-blocking log handler that drops lines if their reader is slow."""

import asyncio
import collections
import logging
import os

MAX_LINES = 2000
"""Capacity of the buffer for a slow reader; about half a megabyte."""

FLUSH_S = 0.1
"""Interval between writes. Lines are batched because each write costs a system
call; a crash loses at most this much of the log."""

_MAX_WRITE_LINES = 200


class LogWriter(logging.Handler):
    """Buffers formatted lines and writes them to a file descriptor.

    Lines that exceed the buffer are dropped and counted; the count is logged
    once there is room again.

    Args:
        descriptor: File descriptor to write to; set to non-blocking mode.
        max_lines: Capacity of the buffer in lines.

    Attributes:
        dropped: Lines dropped since the start.
    """

    def __init__(self, *, descriptor: int, max_lines: int = MAX_LINES):
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._max_lines = max_lines
        self._lines: collections.deque[bytes] = collections.deque()
        self._unwritten = b""
        self._unreported_drops = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers a line; writes at once on errors or without an event loop."""
        if len(self._lines) >= self._max_lines:
            self.dropped += 1
            self._unreported_drops += 1
            return
        try:
            self._lines.append(self.format(record).encode() + b"\n")
        except Exception:
            self.handleError(record)
            return
        if not self._schedule_flush() or record.levelno >= logging.ERROR:
            self.flush()

    def flush(self) -> None:
        """Writes buffered lines until the descriptor would block."""
        try:
            while self._lines or self._unwritten:
                if not self._unwritten:
                    self._unwritten = self._next_chunk()
                written = os.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
        except BlockingIOError:
            # The pipe is full: the next flush writes the rest.
            return
        except OSError:
            # The reader is gone, so the loss cannot be reported either.
            self.dropped += len(self._lines)
            self._lines.clear()
            self._unwritten = b""

    def _next_chunk(self) -> bytes:
        count = min(len(self._lines), _MAX_WRITE_LINES)
        lines = [self._lines.popleft() for _ in range(count)]
        if self._unreported_drops:
            lines.append(
                b"level=WARNING event=log-lines-lost lines=%d\n"
                % self._unreported_drops
            )
            self._unreported_drops = 0
        return b"".join(lines)

    def _schedule_flush(self) -> bool:
        """Schedules a flush; returns False if no event loop is running."""
        if self._timer is not None:
            return True
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return False
        self._timer = loop.call_later(FLUSH_S, self._on_timer)
        return True

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()
        if self._lines or self._unwritten:
            self._schedule_flush()
