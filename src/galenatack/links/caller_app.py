"""The caller-facing ASGI application."""

import collections.abc
import math
import typing

import anyio

from galenatack import exceptions
from galenatack.interfaces import caller_handler
from galenatack.links import disconnect_watch
from galenatack.model import call_result
from galenatack.model import outcome
from galenatack.routing import call_parser
from galenatack.routing import local_replies

Scope = dict[str, typing.Any]
Receive = collections.abc.Callable[
    [], collections.abc.Awaitable[dict[str, typing.Any]]
]
Send = collections.abc.Callable[
    [dict[str, typing.Any]], collections.abc.Awaitable[None]
]
IssueTicket = collections.abc.Callable[[str], str]

TICKET_PREFIX = "/_galenatack/ticket/"
OUTCOME_HEADER = b"galenatack-outcome"

DEFAULT_RECEIVE_S = 10.0
"""Maximum time to receive a body if the caller names no deadline."""

_MS_PER_S = 1000
_REQUEST_TIMEOUT = 408
_BODY_TOO_LARGE = 413
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class CallerApp:
    """Passes calls to a handler and returns complete answers.

    Args:
        handler: Routes the calls.
        issue_ticket: Returns a ticket key for a service, or raises an
            `exceptions.CallError`.
        max_body_bytes: Maximum size of a request body.
    """

    def __init__(
        self,
        *,
        handler: caller_handler.CallerHandler,
        issue_ticket: IssueTicket | None = None,
        max_body_bytes: int = 4_194_304,
    ):
        self._handler = handler
        self._issue_ticket = issue_ticket
        self._max_body_bytes = max_body_bytes
        self._closes_connections = False

    def close_connections(self) -> None:
        """Adds `connection: close` to all further HTTP/1.1 answers.

        A caller that reuses a connection while it is being closed cannot
        tell whether its request ran.
        """
        self._closes_connections = True

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serves one ASGI connection scope."""
        if scope["type"] == "http":
            await self._serve(scope, receive, send)
        elif scope["type"] == "lifespan":
            await _serve_lifespan(receive, send)
        else:
            await send({"type": "websocket.close", "code": 1000})

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        try:
            with anyio.fail_after(_receive_limit_s(scope)):
                body = await self._read_body(receive)
        except TimeoutError:
            error = exceptions.BadCallError(
                "the body did not arrive in time", status=_REQUEST_TIMEOUT
            )
            await self._answer(send, scope, local_replies.not_run(error))
            return
        except exceptions.BadCallError as error:
            await self._answer(send, scope, local_replies.not_run(error))
            return
        if body is None:
            return
        path = scope["raw_path"].decode("latin-1")
        if path.startswith(TICKET_PREFIX):
            result = self._answer_ticket_request(scope["method"], path)
        else:
            result = await self._call(scope, path, body, receive)
        if result is not None:
            await self._answer(send, scope, result)

    async def _answer(
        self, send: Send, scope: Scope, result: call_result.CallResult
    ) -> None:
        # HTTP/2 closes with a GOAWAY frame and forbids the header.
        if self._closes_connections and scope["http_version"] != "2":
            headers = (*result.headers, ("connection", "close"))
            result = result._replace(headers=headers)
        await _send_result(send, scope["method"], result)

    async def _read_body(self, receive: Receive) -> bytes | None:
        """Returns the body, or None if the caller disconnected."""
        parts = []
        size = 0
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return None
            part = message.get("body", b"")
            size += len(part)
            if size > self._max_body_bytes:
                raise exceptions.BadCallError(
                    "body too large", status=_BODY_TOO_LARGE
                )
            parts.append(part)
            if not message.get("more_body", False):
                return b"".join(parts)

    def _answer_ticket_request(
        self, method: str, path: str
    ) -> call_result.CallResult:
        if self._issue_ticket is None or method != "POST":
            return local_replies.not_run(
                exceptions.NoRouteError("no tickets here")
            )
        try:
            key = self._issue_ticket(path.removeprefix(TICKET_PREFIX))
        except exceptions.CallError as error:
            return local_replies.not_run(error)
        return call_result.CallResult(
            outcome=outcome.Outcome.ANSWER.value,
            status=200,
            headers=(("content-type", "text/plain; charset=utf-8"),),
            body=key.encode(),
        )

    async def _call(
        self, request: Scope, path: str, body: bytes, receive: Receive
    ) -> call_result.CallResult | None:
        """Returns the result, or None if the caller disconnected."""
        method = request["method"]
        query = request["query_string"].decode("latin-1")
        headers = _text_headers(request)
        with anyio.CancelScope() as scope:
            watch = disconnect_watch.DisconnectWatch(
                receive,
                scope,
                (request.get("extensions") or {}).get(
                    disconnect_watch.EXTENSION
                ),
            )
            try:
                return await self._handler.handle(
                    method=method,
                    path=f"{path}?{query}" if query else path,
                    headers=headers,
                    body=body,
                )
            finally:
                watch.stop()
        return None


def _receive_limit_s(scope: Scope) -> float:
    """Returns how long a body may take to arrive.

    Raises:
        exceptions.BadCallError: The caller's deadline is malformed.
    """
    deadline_ms = call_parser.deadline_ms_of(_text_headers(scope))
    if deadline_ms is None:
        return DEFAULT_RECEIVE_S
    return deadline_ms / _MS_PER_S


def _text_headers(scope: Scope) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in scope["headers"]
    )


async def _serve_lifespan(receive: Receive, send: Send) -> None:
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def _send_result(
    send: Send, method: str, result: call_result.CallResult
) -> None:
    headers = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in result.headers
    ]
    headers.append((OUTCOME_HEADER, result.outcome.encode()))
    if result.status not in (_NO_CONTENT, _NOT_MODIFIED):
        headers.append((b"content-length", b"%d" % len(result.body)))
    if result.retry_after_ms:
        seconds = math.ceil(result.retry_after_ms / _MS_PER_S)
        headers.append((b"retry-after", b"%d" % seconds))
    await send(
        {
            "type": "http.response.start",
            "status": result.status,
            "headers": headers,
        }
    )
    body = b"" if method == "HEAD" else result.body
    await send({"type": "http.response.body", "body": body})
