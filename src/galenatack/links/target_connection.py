"""An HTTP/1.1 connection to the node's target."""

import asyncio
import collections.abc
import typing

import httptools

from galenatack import exceptions
from galenatack.links import large_bodies as large_bodies_module

Headers = collections.abc.Sequence[tuple[bytes, bytes]]
IsAnswer = collections.abc.Callable[[Headers], bool]

_LENGTHS = frozenset({b"content-length", b"transfer-encoding"})
_INTERIM = range(100, 200)
_FINAL = range(200, 600)
_VERSION = "1."
"""An answer of another major version is not framed as HTTP/1.1."""

READ_BYTES = 16_384
"""Bytes that are read and parsed at a time, before other connections have their
turn: a faulty target may send many small pieces at once."""

MAX_OVERHEAD_BYTES = 65_536
"""Limit on received bytes that are not the body of an answer, beyond the size
of that of this answer: heads, interim answers, chunk sizes and trailers. A
faulty target may send them without end."""

_KEEP_ALIVE = b"keep-alive"
_TIMEOUT = b"timeout="


class RawAnswer(typing.NamedTuple):
    """An unprocessed answer of the target.

    Attributes:
        status: HTTP status.
        headers: Headers, with names in lower case.
        body: Complete body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class TargetConnection(asyncio.BufferedProtocol):
    """Runs one call at a time, as an asyncio protocol.

    The waiting task is woken once, when the answer is complete. The caller
    applies the timeout, so there are no timers here.

    Args:
        max_answer_bytes: Maximum size of an answer body.
        large_bodies: Limits the long answers that are received at a time.
    """

    def __init__(
        self,
        *,
        max_answer_bytes: int,
        large_bodies: large_bodies_module.LargeBodies,
    ):
        self._max_answer_bytes = max_answer_bytes
        self._large_bodies = large_bodies
        self._buffer = bytearray(READ_BYTES)
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[RawAnswer] | None = None
        self._is_answer: IsAnswer | None = None
        self._is_head_request = False
        self._received_bytes = 0
        self._skipped_bytes = 0
        self._begin_message()
        self.is_usable = False
        self.released_s = 0.0
        self.keep_alive_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self.is_usable = True

    def get_buffer(self, sizehint: int) -> bytearray:
        """Returns the buffer for the next read."""
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Feeds received bytes to the parser."""
        if self._is_done():
            # No call is waiting, or it timed out; the next answer on this
            # connection could be attributed to the wrong call.
            self.close()
            return
        self._received_bytes += nbytes
        try:
            self._parser.feed_data(memoryview(self._buffer)[:nbytes])
        except httptools.HttpParserUpgrade:
            self._fail("answer switches the protocol")
        except httptools.HttpParserError as error:
            # Bytes after a complete answer only close the connection.
            self._fail(str(error))
        if self._is_done():
            return
        body_bytes = len(self._body)
        other_bytes = self._received_bytes - self._skipped_bytes - body_bytes
        if other_bytes > MAX_OVERHEAD_BYTES + body_bytes:
            self._fail("too many bytes beside the answer")
        elif body_bytes > large_bodies_module.FREE_BYTES:
            self._large_bodies.claim(self, self._max_answer_bytes)

    def eof_received(self) -> None:
        """Completes an answer without a length; the transport closes itself."""
        self.is_usable = False
        # An interim head is not the head of an answer.
        is_whole = self._has_head and not self._is_informational()
        if is_whole and not self._has_length:
            self._finish()
        self._fail("connection closed before the end of the answer")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange."""
        self._fail(str(exc or "connection closed"))
        # The parser refers to this object: without the cycle, the memory of
        # both is free at once.
        self._parser = None

    async def exchange(
        self,
        request: bytes,
        *,
        is_answer: IsAnswer | None = None,
        is_head_request: bool = False,
    ) -> RawAnswer:
        """Sends a request and returns the complete answer.

        Args:
            request: The request as bytes.
            is_answer: Returns, from the headers, whether an answer belongs
                to this request; other answers are skipped. A faulty target
                may answer an earlier request twice.
            is_head_request: True if the answer has no body.

        Raises:
            exceptions.TargetConnectError: Nothing was sent.
            exceptions.TargetAnswerLostError: The request may have run.
        """
        if not self.is_usable:
            raise exceptions.TargetConnectError("connection is closed")
        self._is_answer = is_answer
        self._is_head_request = is_head_request
        self._received_bytes = 0
        self._skipped_bytes = 0
        self._waiter = asyncio.get_running_loop().create_future()
        # The connection is reusable only after the end of the answer.
        self.is_usable = False
        self._transport.write(request)
        try:
            return await self._waiter
        finally:
            self._waiter = None
            self._drop_answer()

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_usable = False
        self._transport.abort()

    def pause(self) -> None:
        """Stops reading until a long answer may be received."""
        self._transport.pause_reading()

    def resume(self) -> None:
        """Goes on reading."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def on_message_begin(self) -> None:
        """Parser callback: start of an answer."""
        if self._is_done():
            self.close()
        self._begin_message()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header, or a trailer, which is ignored."""
        if not self._has_head:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Parser callback: end of the head."""
        self._has_head = True
        names = {name for name, _ in self._headers}
        self._has_length = bool(names & _LENGTHS)
        self._check_status_line()
        if self._is_head_request and not self._is_informational():
            self._finish()

    def on_body(self, body: bytes) -> None:
        """Parser callback: a part of the body."""
        if self._is_done():
            return
        self._body += body
        if len(self._body) > self._max_answer_bytes:
            self._fail("answer too large")

    def on_message_complete(self) -> None:
        """Parser callback: end of an answer."""
        if self._is_informational() or self._is_done():
            return
        if self._is_answer is not None and not self._is_answer(self._headers):
            self._skip()
            return
        self.is_usable = self._parser.should_keep_alive()
        self._finish()

    def _begin_message(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._body = bytearray()
        self._has_head = False
        self._has_length = False

    def _drop_answer(self) -> None:
        """Frees the memory of an answer that was handed over or has failed."""
        self._headers = []
        self._body = bytearray()
        self._large_bodies.release(self)

    def _skip(self) -> None:
        """Drops an answer to another request."""
        self._skipped_bytes += len(self._body)
        self._body = bytearray()
        if self._skipped_bytes > self._max_answer_bytes:
            self._fail("too many bytes of other answers")

    def _is_done(self) -> bool:
        return self._waiter is None or self._waiter.done()

    def _is_informational(self) -> bool:
        return self._parser.get_status_code() in _INTERIM

    def _check_status_line(self) -> None:
        """Fails the exchange if its answer has a status that is none."""
        if self._is_done():
            return
        if self._is_answer is not None and not self._is_answer(self._headers):
            return
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        is_status = status in _INTERIM or status in _FINAL
        if not is_status or not version.startswith(_VERSION):
            self._fail_with(
                exceptions.TargetStatusError(
                    f"answer with status {status:03d} of HTTP/{version}"
                )
            )

    def _finish(self) -> None:
        if self._is_done():
            return
        if self._is_answer is not None and not self._is_answer(self._headers):
            return
        self.keep_alive_s = _keep_alive_s(self._headers)
        self._waiter.set_result(
            RawAnswer(
                self._parser.get_status_code(),
                self._headers,
                bytes(self._body),
            )
        )

    def _fail(self, reason: str) -> None:
        self._fail_with(exceptions.TargetAnswerLostError(reason))

    def _fail_with(self, error: exceptions.TargetAnswerLostError) -> None:
        self.close()
        if not self._is_done():
            self._waiter.set_exception(error)


def _keep_alive_s(headers: Headers) -> float | None:
    """Returns the keep-alive timeout that the target announced, if any."""
    for name, value in headers:
        if name != _KEEP_ALIVE:
            continue
        for part in value.lower().split(b","):
            text = part.strip().removeprefix(_TIMEOUT)
            if text != part.strip() and text.isdigit():
                return float(text)
    return None
