"""One HTTP/1.1 connection whose requests run at the same time."""

import asyncio
import collections
import collections.abc
import logging
import typing

from galenatack import exceptions
from galenatack.links import connection_limits
from galenatack.links import http_head
from galenatack.links import http_request
from galenatack.links import http_response
from galenatack.links import request_reader

_LOGGER = logging.getLogger(__name__)

MAX_AHEAD = 16
"""Requests of one connection that run at once; more are read later."""

MAX_UNSENT_BYTES = 1_000_000
"""A peer that reads more slowly than this is not read from either."""

MAX_UNREAD_BYTES = 262_144
"""Bytes that are read ahead while `MAX_AHEAD` requests run."""

LINGER_S = 1.0
"""A peer that still sends a refused request would lose the answer to a reset
if the connection were closed at once."""

REQUEST_TIMEOUT = 408
INTERNAL_ERROR = 500
BAD_GATEWAY = 502
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_NO_BODY = frozenset((204, 304))

Respond = collections.abc.Callable[
    [http_request.HttpRequest],
    collections.abc.Awaitable[http_response.HttpResponse],
]


class _Exchange:
    __slots__ = ("is_head", "keeps_alive", "response", "task")

    def __init__(self, *, is_head: bool, keeps_alive: bool):
        self.is_head = is_head
        self.keeps_alive = keeps_alive
        self.task: asyncio.Task | None = None
        self.response: http_response.HttpResponse | None = None


class PipelinedConnection(asyncio.Protocol):
    """Reads requests ahead, runs them at once and answers in their order.

    Args:
        respond: Answers a request; cancelled when the peer goes away.
        limits: Bounds, read anew for each check.
        connections: Open connections; this one adds and removes itself.
    """

    def __init__(
        self,
        *,
        respond: Respond,
        limits: connection_limits.ConnectionLimits,
        connections: "set[PipelinedConnection]",
    ):
        self._respond = respond
        self._limits = limits
        self._connections = connections
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._reader = request_reader.RequestReader(
            limits=limits,
            on_request=self._run,
            on_refused=self._refuse,
            on_continue=self._tell_to_continue,
        )
        self._unread = b""
        self._pending: collections.deque[_Exchange] = collections.deque()
        self._is_draining = False
        self._is_blocked = False
        self._active_s = self._loop.time()
        self._began_s: float | None = None

    @property
    def is_idle(self) -> bool:
        """True while no request was received and not answered."""
        return not self._pending and self._began_s is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Takes a part of a request."""
        if not self._reader.is_open:
            return
        self._active_s = self._loop.time()
        if self._began_s is None:
            self._began_s = self._active_s
        if self._is_full():
            self._unread += data
            self._check_unread()
            return
        self._feed(data)

    def eof_received(self) -> None:
        """Drops the requests; the transport closes itself."""
        self._drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops the requests."""
        del exc
        self._connections.discard(self)
        self._drop()

    def pause_writing(self) -> None:
        """Reads no more while the peer does not read."""
        self._is_blocked = True
        self._transport.pause_reading()

    def resume_writing(self) -> None:
        """Reads on."""
        self._is_blocked = False
        if not self._transport.is_closing():
            self._transport.resume_reading()
            self._read_on()

    def drain(self) -> None:
        """Tells the peer with the next answer that the connection ends."""
        self._is_draining = True

    def finish(self) -> None:
        """Answers what was received whole, then ends the connection.

        A peer that always has a request under way would keep the connection
        open for ever; what it sends from now on is not read.
        """
        self._is_draining = True
        self._stop_reading()
        if not self._pending:
            self._transport.close()

    def abort(self) -> None:
        """Drops the connection."""
        self._transport.abort()

    def check_time(self, now_s: float) -> None:
        """Ends a connection that is idle, or sends a head too slowly."""
        limits = self._limits
        if self._began_s is not None and not self._reader.has_head:
            if now_s - self._began_s > limits.header_timeout_s:
                self._reader.close()
                self._refuse(REQUEST_TIMEOUT)
        elif self.is_idle and now_s - self._active_s > limits.idle_timeout_s:
            self._transport.close()

    def _feed(self, data: bytes) -> None:
        self._reader.feed(data)
        if not self._reader.has_begun:
            self._began_s = None
        elif self._began_s is None:
            self._began_s = self._loop.time()

    def _is_full(self) -> bool:
        return self._is_blocked or len(self._pending) >= MAX_AHEAD

    def _check_unread(self) -> None:
        if len(self._unread) > MAX_UNREAD_BYTES:
            self._transport.pause_reading()

    def _read_on(self) -> None:
        """Takes what was read while too many requests were under way."""
        if not self._unread or self._is_full() or not self._reader.is_open:
            return
        data, self._unread = self._unread, b""
        if not self._transport.is_closing():
            self._transport.resume_reading()
        self._feed(data)

    def _run(
        self, request: http_request.HttpRequest, *, keeps_alive: bool
    ) -> None:
        exchange = _Exchange(
            is_head=request.method == "HEAD", keeps_alive=keeps_alive
        )
        self._began_s = None
        self._pending.append(exchange)
        exchange.task = self._loop.create_task(self._answer(exchange, request))

    def _tell_to_continue(self) -> None:
        # Behind an answer that is still due it would be taken for that one.
        if not self._pending:
            self._transport.write(CONTINUE)

    async def _answer(
        self, exchange: _Exchange, request: http_request.HttpRequest
    ) -> None:
        try:
            exchange.response = await self._respond(request)
        except Exception:
            # A fault in one request must not end the others.
            _LOGGER.exception("event=request-failed target=%s", request.target)
            exchange.response = http_response.HttpResponse(INTERNAL_ERROR)
        self._flush()

    def _flush(self) -> None:
        """Sends the answers that are next in order."""
        while self._pending and self._pending[0].response is not None:
            if self._transport.is_closing():
                return
            exchange = self._pending.popleft()
            self._active_s = self._loop.time()
            if not self._send(exchange):
                return
        self._read_on()

    def _send(self, exchange: _Exchange) -> bool:
        """Sends an answer; returns False when it ends the connection."""
        # A request that is being received, or waits, may still be answered.
        has_more = self._pending or self._began_s is not None or self._unread
        if self._is_draining and not has_more:
            exchange.keeps_alive = False
        try:
            encoded = _encoded(exchange)
        except exceptions.MalformedHeadError as error:
            _LOGGER.error("event=answer-malformed error=%s", error)
            exchange.response = http_response.HttpResponse(BAD_GATEWAY)
            encoded = _encoded(exchange)
        self._transport.write(encoded)
        if exchange.keeps_alive:
            return True
        self._stop_reading()
        self._drop()
        self._close_soon()
        return False

    def _refuse(self, status: int) -> None:
        """Answers a request that cannot be read, after those before it."""
        self._stop_reading()
        exchange = _Exchange(is_head=False, keeps_alive=False)
        exchange.response = http_response.HttpResponse(status)
        self._pending.append(exchange)
        self._flush()

    def _stop_reading(self) -> None:
        self._reader.close()
        self._began_s = None
        self._unread = b""

    def _close_soon(self) -> None:
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)

    def _drop(self) -> None:
        pending, self._pending = self._pending, collections.deque()
        for exchange in pending:
            if exchange.task is not None:
                exchange.task.cancel()


def _encoded(exchange: _Exchange) -> bytes:
    response = exchange.response
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
    ]
    has_body = response.status not in _NO_BODY
    if has_body:
        headers.append((b"content-length", b"%d" % len(response.body)))
    if not exchange.keeps_alive:
        headers.append((b"connection", b"close"))
    head = http_head.response(response.status, headers)
    return head if exchange.is_head or not has_body else head + response.body
