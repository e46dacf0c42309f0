"""One request and its answer on an HTTP/1.1 connection."""

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
OnGone = collections.abc.Callable[[], object]


class Sender(typing.Protocol):
    """What an exchange needs of its connection."""

    def write_events(
        self, events: collections.abc.Iterable[typing.Any], *, is_last: bool
    ) -> None:
        """Sends h11 events; the exchange is over after the last ones."""

    async def drain(self) -> None:
        """Waits while the connection's buffer is full."""

    def want_body(self) -> None:
        """Asks the caller for the body, or for more of it."""

    def hold_body(self) -> None:
        """Reads no more until `want_body`."""

    def abort(self) -> None:
        """Drops the connection."""


class H11Exchange:
    """Gives an ASGI application one request and takes its answer.

    Attributes:
        has_begun: Whether the answer's head was sent.
    """

    def __init__(self, sender: Sender):
        self._sender = sender
        self._parts: list[bytes] = []
        self._unread = 0
        self._has_all = False
        self._was_read = False
        self._is_over = False
        self._is_gone = False
        self._reader: asyncio.Future[None] | None = None
        self._on_gone: OnGone | None = None
        self._start: h11.Response | None = None
        self.has_begun = False

    async def run(self, app: typing.Any, scope: Message) -> None:
        """Runs the application to its end."""
        try:
            await app(scope, self.receive, self.send)
        except Exception:
            _LOGGER.exception("event=caller-side-failed")
        if self._is_over or self._is_gone:
            return
        if self.has_begun:
            self._sender.abort()
            return
        response = h11.Response(
            status_code=_SERVER_ERROR, headers=_ERROR_BODY_HEADERS
        )
        self._end([response])

    def feed(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._parts.append(bytes(data))
        self._unread += len(data)
        if self._unread > _MAX_UNREAD_BYTES:
            self._sender.hold_body()
        self._wake()

    def feed_end(self) -> None:
        """Takes the end of the body."""
        self._has_all = True
        self._wake()

    def disconnect(self) -> None:
        """Notes that the caller went away."""
        self._is_gone = True
        self._wake()
        if self._on_gone is not None:
            self._on_gone()

    def on_disconnect(self, callback: OnGone | None) -> None:
        """Calls back once the caller has gone away; None ends that."""
        self._on_gone = callback
        if self._is_gone and callback is not None:
            callback()

    async def receive(self) -> Message:
        """Implements ASGI's `receive`."""
        while not self._is_gone:
            if self._parts or (self._has_all and not self._was_read):
                return self._take()
            self._sender.want_body()
            self._reader = asyncio.get_running_loop().create_future()
            try:
                await self._reader
            finally:
                self._reader = None
        return _DISCONNECT

    async def send(self, message: Message) -> None:
        """Implements ASGI's `send`; small answers go out in one write."""
        if self._is_gone or self._is_over:
            return
        if message["type"] == "http.response.start":
            self._start = h11.Response(
                status_code=message["status"],
                headers=message.get("headers", []),
            )
            return
        events = []
        if not self.has_begun:
            events.append(self._start)
            self.has_begun = True
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
        # Only now: after a failed write the connection must not stay open.
        self._is_over = True

    def _take(self) -> Message:
        body = b"".join(self._parts)
        self._parts.clear()
        self._unread = 0
        self._was_read = self._has_all
        return {
            "type": "http.request",
            "body": body,
            "more_body": not self._has_all,
        }

    def _wake(self) -> None:
        if self._reader is not None and not self._reader.done():
            self._reader.set_result(None)
