"""One request and its response on an HTTP/1.1 connection."""

import asyncio
import collections.abc
import logging
import typing

import h11

_MAX_UNREAD_BYTES = 65_536
_SERVER_ERROR = 500
_ERROR_BODY_HEADERS = [(b"content-length", b"0"), (b"connection", b"close")]
_DISCONNECT = {"type": "http.disconnect"}

_LOGGER = logging.getLogger(__name__)

Message = dict[str, typing.Any]
OnDisconnect = collections.abc.Callable[[], object]


class Sender(typing.Protocol):
    """The connection, as an exchange uses it."""

    def write_events(
        self, events: collections.abc.Iterable[typing.Any], *, is_last: bool
    ) -> None:
        """Sends h11 events; `is_last` ends the exchange."""

    async def drain(self) -> None:
        """Waits while the connection's buffer is full."""

    def request_body(self) -> None:
        """Requests the body, or more of it, from the caller."""

    def pause_body(self) -> None:
        """Pauses reading until `request_body`."""

    def abort(self) -> None:
        """Drops the connection."""


class H11Exchange:
    """Passes one request to an ASGI application and sends its response.

    Attributes:
        has_started: Whether the head of the response was sent.
    """

    def __init__(self, sender: Sender):
        self._sender = sender
        self._parts: list[bytes] = []
        self._unread_bytes = 0
        self._has_whole_body = False
        self._was_end_read = False
        self._is_complete = False
        self._is_disconnected = False
        self._body_waiter: asyncio.Future[None] | None = None
        self._on_disconnect: OnDisconnect | None = None
        self._start: h11.Response | None = None
        self.has_started = False

    async def run(self, app: typing.Any, scope: Message) -> None:
        """Runs the application for this request."""
        try:
            await app(scope, self.receive, self.send)
        except Exception:
            _LOGGER.exception("event=caller-side-failed")
        if self._is_complete or self._is_disconnected:
            return
        if self.has_started:
            self._sender.abort()
            return
        response = h11.Response(
            status_code=_SERVER_ERROR, headers=_ERROR_BODY_HEADERS
        )
        self._end([response])

    def feed(self, data: bytes) -> None:
        """Buffers a part of the body."""
        self._parts.append(bytes(data))
        self._unread_bytes += len(data)
        if self._unread_bytes > _MAX_UNREAD_BYTES:
            self._sender.pause_body()
        self._wake_receiver()

    def feed_end(self) -> None:
        """Marks the body as complete."""
        self._has_whole_body = True
        self._wake_receiver()

    def disconnect(self) -> None:
        """Signals that the caller disconnected."""
        self._is_disconnected = True
        self._wake_receiver()
        if self._on_disconnect is not None:
            self._on_disconnect()

    def on_disconnect(self, callback: OnDisconnect | None) -> None:
        """Sets the callback for the caller's disconnect; None removes it."""
        self._on_disconnect = callback
        if self._is_disconnected and callback is not None:
            callback()

    async def receive(self) -> Message:
        """Implements ASGI's `receive`."""
        while not self._is_disconnected:
            if self._parts or (self._has_whole_body and not self._was_end_read):
                return self._next_message()
            self._sender.request_body()
            self._body_waiter = asyncio.get_running_loop().create_future()
            try:
                await self._body_waiter
            finally:
                self._body_waiter = None
        return _DISCONNECT

    async def send(self, message: Message) -> None:
        """Implements ASGI's `send`; small responses are sent in one write."""
        if self._is_disconnected or self._is_complete:
            return
        if message["type"] == "http.response.start":
            self._start = h11.Response(
                status_code=message["status"],
                headers=message.get("headers", []),
            )
            return
        events = []
        if not self.has_started:
            events.append(self._start)
            self.has_started = True
        body = message.get("body", b"")
        if body:
            events.append(h11.Data(data=body))
        if not message.get("more_body", False):
            self._end(events)
        else:
            self._sender.write_events(events, is_last=False)
        await self._sender.drain()

    def _end(self, events: list[typing.Any]) -> None:
        events.append(h11.EndOfMessage())
        self._sender.write_events(events, is_last=True)
        # Set last: if the write raises, `run` must still abort the
        # connection.
        self._is_complete = True

    def _next_message(self) -> Message:
        body = b"".join(self._parts)
        self._parts.clear()
        self._unread_bytes = 0
        self._was_end_read = self._has_whole_body
        return {
            "type": "http.request",
            "body": body,
            "more_body": not self._has_whole_body,
        }

    def _wake_receiver(self) -> None:
        if self._body_waiter is not None and not self._body_waiter.done():
            self._body_waiter.set_result(None)
