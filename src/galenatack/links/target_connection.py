"""One HTTP/1.1 connection to the node's own target."""

import asyncio
import collections.abc
import typing

import h11

from galenatack import exceptions

Headers = collections.abc.Sequence[tuple[bytes, bytes]]
IsAnswer = collections.abc.Callable[[Headers], bool]

_KEEP_ALIVE = b"keep-alive"
_TIMEOUT = b"timeout="


class RawAnswer(typing.NamedTuple):
    """An answer as it came.

    Attributes:
        status: HTTP status.
        headers: Headers, names in lower case.
        body: Whole body.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class TargetConnection(asyncio.Protocol):
    """Exchanges one call at a time, with h11 on an asyncio protocol.

    The call's task is woken once, when the whole answer is there. The caller
    bounds the time, so there are no timers here.

    Args:
        max_answer_bytes: Largest body of an answer.
    """

    def __init__(self, *, max_answer_bytes: int):
        self._max_answer_bytes = max_answer_bytes
        self._http = h11.Connection(h11.CLIENT)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[RawAnswer] | None = None
        self._response: h11.Response | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._request: h11.Request | None = None
        self._body = b""
        self._is_answer: IsAnswer | None = None
        self._is_surplus = False
        self.is_usable = False
        self.released_s = 0.0
        self.keep_alive_s: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.Transport, transport)
        self.is_usable = True

    def data_received(self, data: bytes) -> None:
        """Takes a part of an answer."""
        self._receive(data)

    def eof_received(self) -> None:
        """Ends an answer without a length; the transport closes itself."""
        self.is_usable = False
        self._receive(b"")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the exchange."""
        self._fail(str(exc or "connection closed"))

    async def exchange(
        self,
        request: h11.Request,
        body: bytes,
        *,
        is_answer: IsAnswer | None = None,
    ) -> RawAnswer:
        """Sends a request and returns the whole answer.

        Args:
            request: The head.
            body: The whole body.
            is_answer: Tells from the headers whether an answer belongs to
                this request; one that does not is skipped. A faulty target
                may answer an earlier request twice.

        Raises:
            exceptions.TargetConnectError: Nothing was sent.
            exceptions.TargetAnswerLostError: It may have run.
        """
        if not self.is_usable:
            raise exceptions.TargetConnectError("connection is closed")
        try:
            sent = self._encode(request, body)
        except h11.LocalProtocolError as error:
            self.close()
            raise exceptions.TargetConnectError(str(error)) from error
        self._request = request
        self._body = body
        self._is_answer = is_answer
        self._is_surplus = False
        self._waiter = asyncio.get_running_loop().create_future()
        # The connection can be reused only after the end of the answer.
        self.is_usable = False
        self._transport.write(sent)
        try:
            return await self._waiter
        finally:
            self._waiter = None

    def close(self) -> None:
        """Closes the connection at once."""
        self.is_usable = False
        self._transport.abort()

    def _encode(self, request: h11.Request, body: bytes) -> bytes:
        sent = self._http.send(request)
        if body:
            sent += self._http.send(h11.Data(data=body))
        return sent + self._http.send(h11.EndOfMessage())

    def _receive(self, data: bytes) -> None:
        if self._waiter is None or self._waiter.done():
            # Nobody asked, or the call gave up; either way the next answer
            # on this connection could belong to another call.
            self.close()
            return
        try:
            self._http.receive_data(data)
            self._take_events()
        except h11.RemoteProtocolError as error:
            self._fail(str(error))

    def _take_events(self) -> None:
        while True:
            event = self._http.next_event()
            kind = type(event)
            if kind is h11.Response:
                self._response = event
                self._is_surplus = self._is_answer is not None and (
                    not self._is_answer(event.headers)
                )
            elif kind is h11.Data:
                self._parts.append(event.data)
                self._size += len(event.data)
                if self._size > self._max_answer_bytes:
                    self._fail("answer too large")
                    return
            elif kind is h11.EndOfMessage and self._is_surplus:
                self._skip_answer()
            elif kind is h11.EndOfMessage:
                self._finish()
                return
            elif kind is not h11.InformationalResponse:
                return

    def _skip_answer(self) -> None:
        """Goes on reading as if the request had just been sent."""
        rest, _ = self._http.trailing_data
        self._parts.clear()
        self._size = 0
        self._http = h11.Connection(h11.CLIENT)
        # Only the state matters here: the request went out long ago.
        self._encode(self._request, self._body)
        if rest:
            self._http.receive_data(rest)

    def _finish(self) -> None:
        response = self._response
        self.keep_alive_s = _keep_alive_s(response.headers)
        answer = RawAnswer(
            response.status_code, list(response.headers), b"".join(self._parts)
        )
        self._parts.clear()
        self._size = 0
        http = self._http
        # Bytes after the answer would be taken for the next one.
        has_ended = http.our_state is h11.DONE and http.their_state is h11.DONE
        if has_ended and not http.trailing_data[0]:
            http.start_next_cycle()
            self.is_usable = True
        else:
            self.close()
        self._waiter.set_result(answer)

    def _fail(self, reason: str) -> None:
        self.close()
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_exception(exceptions.TargetAnswerLostError(reason))


def _keep_alive_s(headers: Headers) -> float | None:
    """Returns how long the peer keeps an idle connection, if it tells."""
    for name, value in headers:
        if name != _KEEP_ALIVE:
            continue
        for part in value.lower().split(b","):
            text = part.strip().removeprefix(_TIMEOUT)
            if text != part.strip() and text.isdigit():
                return float(text)
    return None
