"""One HTTP/1.1 connection whose requests run at the same time."""

import asyncio
import collections
import collections.abc
import logging
import typing

import h11

from galenatack.links import connection_limits
from galenatack.links import http_request
from galenatack.links import http_response

_LOGGER = logging.getLogger(__name__)

MAX_AHEAD = 16
"""Requests of one connection that run at once; more are read later."""

MAX_UNSENT_BYTES = 1_000_000
"""A peer that reads more slowly than this is not read from either."""

LINGER_S = 1.0
"""A peer that still sends a refused request would lose the answer to a reset
if the connection were closed at once."""

BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
BODY_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
INTERNAL_ERROR = 500
_NO_BODY = frozenset((204, 304))
_LENGTH = b"content-length"
_CODING = b"transfer-encoding"

Respond = collections.abc.Callable[
    [http_request.HttpRequest],
    collections.abc.Awaitable[http_response.HttpResponse],
]


class _Exchange:
    __slots__ = ("head", "http", "response", "task")

    def __init__(self, http: h11.Connection, head: h11.Request | None):
        self.http = http
        self.head = head
        self.task: asyncio.Task | None = None
        self.response: http_response.HttpResponse | None = None


class PipelinedConnection(asyncio.Protocol):
    """Reads requests ahead, runs them at once and answers in their order.

    h11 serves one request at a time, so each request has a parser of its own;
    the bytes behind a request go to the next one.

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
        self._http = self._new_parser()
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._pending: collections.deque[_Exchange] = collections.deque()
        self._is_reading = True
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
        if not self._is_reading:
            return
        self._active_s = self._loop.time()
        self._http.receive_data(data)
        self._parse()

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
            self._parse()

    def drain(self) -> None:
        """Tells the peer with the next answer that the connection ends."""
        self._is_draining = True

    def close_idle(self) -> None:
        """Closes the connection unless a request is under way."""
        if self.is_idle:
            self._transport.close()

    def abort(self) -> None:
        """Drops the connection."""
        self._transport.abort()

    def check_time(self, now_s: float) -> None:
        """Ends a connection that is idle, or sends a head too slowly."""
        limits = self._limits
        if self._began_s is not None and self._head is None:
            if now_s - self._began_s > limits.header_timeout_s:
                self._refuse(REQUEST_TIMEOUT)
        elif self.is_idle and now_s - self._active_s > limits.idle_timeout_s:
            self._transport.close()

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header_bytes,
        )

    def _parse(self) -> None:
        try:
            while self._is_reading and not self._is_full():
                event = self._http.next_event()
                if not self._take(event):
                    return
        except h11.RemoteProtocolError as error:
            _LOGGER.info("event=bad-request error=%s", error)
            self._refuse(error.error_status_hint or BAD_REQUEST)

    def _is_full(self) -> bool:
        return self._is_blocked or len(self._pending) >= MAX_AHEAD

    def _take(self, event: typing.Any) -> bool:
        """Takes an event; returns False when there are no more for now."""
        kind = type(event)
        if kind is h11.Request:
            self._begin(event)
        elif kind is h11.Data:
            self._add_body(bytes(event.data))
        elif kind is h11.EndOfMessage:
            self._run()
        elif event is h11.NEED_DATA:
            waits = self._http.trailing_data[0]
            if self._began_s is None and waits:
                self._began_s = self._loop.time()
            return False
        else:
            return False
        return True

    def _begin(self, head: h11.Request) -> None:
        self._began_s = self._began_s or self._loop.time()
        self._head = head
        names = [name for name, _ in head.headers]
        if _LENGTH in names and _CODING in names:
            # Two lengths: another reader could find a second request in
            # the body.
            self._refuse(BAD_REQUEST)
            return
        if self._http.they_are_waiting_for_100_continue and not self._pending:
            go_on = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(go_on))

    def _add_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.max_body_bytes:
            self._refuse(BODY_TOO_LARGE)
            return
        self._body.append(data)

    def _run(self) -> None:
        exchange = _Exchange(self._http, self._head)
        head = self._head
        request = http_request.HttpRequest(
            method=head.method.decode("ascii").upper(),
            target=head.target.decode("latin-1"),
            headers=tuple(
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in head.headers
            ),
            body=b"".join(self._body),
        )
        rest = self._http.trailing_data[0]
        self._http = self._new_parser()
        self._head = None
        self._began_s = None
        self._body.clear()
        self._body_bytes = 0
        self._pending.append(exchange)
        exchange.task = self._loop.create_task(self._answer(exchange, request))
        if rest:
            self._http.receive_data(rest)

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
        self._parse()

    def _send(self, exchange: _Exchange) -> bool:
        """Sends an answer; returns False when it ends the connection."""
        is_last = self._is_draining and not self._pending
        # A request that is being received may still be answered.
        is_last = is_last and self._began_s is None
        http = exchange.http
        self._transport.write(_encoded(exchange, is_last=is_last))
        if http.our_state is h11.DONE and http.their_state is h11.DONE:
            return True
        self._stop_reading()
        self._drop()
        self._close_soon()
        return False

    def _refuse(self, status: int) -> None:
        """Answers a request that cannot be read, after those before it."""
        self._stop_reading()
        exchange = _Exchange(h11.Connection(h11.SERVER), None)
        exchange.response = http_response.HttpResponse(status)
        self._pending.append(exchange)
        self._flush()

    def _stop_reading(self) -> None:
        self._is_reading = False
        self._began_s = None

    def _close_soon(self) -> None:
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(LINGER_S, self._transport.close)

    def _drop(self) -> None:
        pending, self._pending = self._pending, collections.deque()
        for exchange in pending:
            if exchange.task is not None:
                exchange.task.cancel()


def _encoded(exchange: _Exchange, *, is_last: bool) -> bytes:
    response = exchange.response
    is_refusal = exchange.head is None
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in response.headers
    ]
    if response.status not in _NO_BODY:
        headers.append((_LENGTH, b"%d" % len(response.body)))
    if is_last or is_refusal:
        headers.append((b"connection", b"close"))
    event = h11.Response(status_code=response.status, headers=headers)
    http = exchange.http
    sent = http.send(event)
    if response.body and response.status not in _NO_BODY:
        is_head = exchange.head is not None and exchange.head.method == b"HEAD"
        if not is_head:
            sent += http.send(h11.Data(data=response.body))
    return sent + http.send(h11.EndOfMessage())
