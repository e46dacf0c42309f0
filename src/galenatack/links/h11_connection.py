"""An HTTP/1.1 connection of the HTTP listener."""

import asyncio
import collections.abc
import typing
import urllib.parse

import h11

from galenatack.links import disconnect_watch
from galenatack.links import h11_exchange
from galenatack.links import request_target

PREFACE = b"PRI * HTTP/2.0\r\n"
MAX_HEADER_BYTES = 65_536
# Closing at once would send a reset to a caller that is still sending a
# rejected body, and the caller would lose the answer.
_LINGER_S = 2.0
_BAD_REQUEST = 400
_CLOSE = (b"connection", b"close")
_LENGTHS = frozenset({b"content-length", b"transfer-encoding"})

HandOver = collections.abc.Callable[[asyncio.Transport, bytes], None]


class H11Connection(asyncio.Protocol):
    """Runs an ASGI application on h11, one task for each request.

    It replaces hypercorn's stream layers, which cost 0.3 ms of CPU per
    request. HTTP/2 connections are still handed over to hypercorn after
    their first bytes.

    Args:
        app: ASGI application.
        connections: Open connections; this one adds and removes itself.
        keep_alive_s: Maximum time between requests.
        hand_over: Takes over the transport of an HTTP/2 connection, with
            the bytes received so far.
    """

    def __init__(
        self,
        *,
        app: typing.Any,
        connections: "set[H11Connection]",
        keep_alive_s: float,
        hand_over: HandOver,
    ):
        self._app = app
        self._connections = connections
        self._keep_alive_s = keep_alive_s
        self._hand_over = hand_over
        self._loop = asyncio.get_running_loop()
        self._http = h11.Connection(
            h11.SERVER, max_incomplete_event_size=MAX_HEADER_BYTES
        )
        self._first_bytes: bytes | None = b""
        self._exchange: h11_exchange.H11Exchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._is_closing = False
        self._is_writing_paused = False
        self._is_reading_paused = False
        self._drain_waiter: asyncio.Future[None] | None = None
        self._idle_since_s = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection, or hands it over if ALPN chose HTTP/2."""
        self._transport = typing.cast(asyncio.Transport, transport)
        secured = transport.get_extra_info("ssl_object")
        self._base_scope = {
            "type": "http",
            "asgi": {"spec_version": "2.1", "version": "3.0"},
            "scheme": "https" if secured else "http",
            "client": transport.get_extra_info("peername"),
            "server": transport.get_extra_info("sockname"),
            "root_path": "",
        }
        if secured and secured.selected_alpn_protocol() == "h2":
            self._hand_over(self._transport, b"")
            return
        self._connections.add(self)
        self._idle_timer = self._loop.call_later(
            self._keep_alive_s, self._check_idle
        )

    def data_received(self, data: bytes) -> None:
        """Feeds received bytes to the parser."""
        if self._first_bytes is not None:
            data = self._first_bytes + data
            if PREFACE.startswith(data[: len(PREFACE)]):
                self._first_bytes = data
                if len(data) >= len(PREFACE):
                    self._unregister()
                    self._hand_over(self._transport, data)
                return
            self._first_bytes = None
        if self._is_closing and self._exchange is None:
            return
        self._http.receive_data(data)
        self._process_events()

    def eof_received(self) -> None:
        """Signals the disconnect; the transport then closes itself."""
        self._disconnect()

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregisters the connection and signals the disconnect."""
        del exc
        self._unregister()
        self.resume_writing()
        self._disconnect()

    def pause_writing(self) -> None:
        """Makes `drain` wait."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Wakes up `drain`."""
        self._is_writing_paused = False
        if self._drain_waiter is not None and not self._drain_waiter.done():
            self._drain_waiter.set_result(None)

    def close_soon(self) -> None:
        """Closes the connection after the request in flight, if any."""
        self._is_closing = True
        if self._exchange is None:
            self._transport.close()

    def abort(self) -> None:
        """Drops the connection."""
        self._transport.abort()

    def write_events(
        self, events: collections.abc.Iterable[typing.Any], *, is_last: bool
    ) -> None:
        """Sends h11 events as one write."""
        sent = []
        for event in events:
            if self._is_closing and type(event) is h11.Response:
                headers = [*event.headers, _CLOSE]
                event = h11.Response(
                    status_code=event.status_code, headers=headers
                )
            sent.append(self._http.send(event))
        self._transport.write(b"".join(sent))
        if is_last:
            self._finish()

    async def drain(self) -> None:
        """Waits while the connection's buffer is full."""
        if self._is_writing_paused:
            self._drain_waiter = self._loop.create_future()
            try:
                await self._drain_waiter
            finally:
                self._drain_waiter = None

    def request_body(self) -> None:
        """Requests the body, or more of it, from the caller."""
        if self._http.they_are_waiting_for_100_continue:
            interim = h11.InformationalResponse(status_code=100, headers=[])
            self._transport.write(self._http.send(interim))
        self._resume_reading()

    def pause_body(self) -> None:
        """Pauses reading until `request_body` or the next request."""
        if not self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._is_reading_paused and not self._transport.is_closing():
            self._is_reading_paused = False
            self._transport.resume_reading()

    def _process_events(self) -> None:
        try:
            while True:
                event = self._http.next_event()
                kind = type(event)
                if kind is h11.Request:
                    if _has_two_lengths(event):
                        # Request smuggling: another parser could find a
                        # second request in the body.
                        self._refuse(_BAD_REQUEST)
                        return
                    self._start(event)
                elif kind is h11.Data:
                    self._exchange.feed(event.data)
                elif kind is h11.EndOfMessage:
                    self._exchange.feed_end()
                else:
                    if event is h11.PAUSED:
                        # Pipelined requests must not pile up in memory.
                        self.pause_body()
                    return
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint or _BAD_REQUEST)

    def _start(self, request: h11.Request) -> None:
        # Routes of this interface do not depend on the host.
        _, target = request_target.split(request.target.decode("latin-1"))
        path, _, query = target.encode("latin-1").partition(b"?")
        text = path.decode("latin-1")
        self._exchange = h11_exchange.H11Exchange(self)
        scope = {
            **self._base_scope,
            "extensions": {
                disconnect_watch.EXTENSION: self._exchange.on_disconnect
            },
            "http_version": request.http_version.decode("ascii"),
            "method": request.method.decode("ascii").upper(),
            "path": urllib.parse.unquote(text) if "%" in text else text,
            "raw_path": path,
            "query_string": query,
            "headers": list(request.headers),
        }
        self._task = self._loop.create_task(
            self._exchange.run(self._app, scope)
        )

    def _finish(self) -> None:
        self._exchange = None
        self._idle_since_s = self._loop.time()
        http = self._http
        if http.their_state is h11.SEND_BODY:
            self._linger()
        elif (
            self._is_closing
            or http.our_state is not h11.DONE
            or http.their_state is not h11.DONE
        ):
            self._transport.close()
        else:
            http.start_next_cycle()
            self._resume_reading()
            if http.trailing_data[0]:
                self._process_events()

    def _linger(self) -> None:
        self._is_closing = True
        self._resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(_LINGER_S, self._transport.close)

    def _refuse(self, status: int) -> None:
        exchange = self._exchange
        if exchange is not None or self._http.our_state not in (
            h11.IDLE,
            h11.SEND_RESPONSE,
        ):
            # The body is malformed but the application may already be
            # answering, so no error response can be sent.
            self._transport.abort()
            return
        self._is_closing = True
        headers = [(b"content-length", b"0")]
        response = h11.Response(status_code=status, headers=headers)
        self.write_events([response, h11.EndOfMessage()], is_last=False)
        self._linger()

    def _check_idle(self) -> None:
        idle_s = self._loop.time() - self._idle_since_s
        if self._exchange is None and idle_s >= self._keep_alive_s:
            self._transport.close()
            return
        wait_s = self._keep_alive_s
        if self._exchange is None:
            wait_s -= idle_s
        self._idle_timer = self._loop.call_later(wait_s, self._check_idle)

    def _disconnect(self) -> None:
        if self._exchange is not None:
            self._exchange.disconnect()
            self._exchange = None

    def _unregister(self) -> None:
        if self in self._connections:
            self._connections.discard(self)
            self._idle_timer.cancel()


def _has_two_lengths(request: h11.Request) -> bool:
    names = {name for name, _ in request.headers}
    return names >= _LENGTHS
