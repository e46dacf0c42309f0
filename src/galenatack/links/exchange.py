"""A request on a connection and its answer."""

import asyncio

from galenatack.links import http_head
from galenatack.links import http_request
from galenatack.links import http_response

_NO_BODY = frozenset((204, 304))


class Exchange:
    """A request on a connection and its answer.

    Args:
        request: The request; None if it could not be read.
        began_s: When its first byte came, by the clock of the event loop.
        keeps_alive: Whether the connection stays open after the answer.

    Attributes:
        keeps_alive: Whether the connection stays open after the answer.
        request: The request until it begins to run.
        began_s: When its first byte came.
        target: Its path and query.
        task: Runs it; None before that.
        response: Its answer; None before that.
        ready_s: When the answer was ready.
    """

    __slots__ = (
        "_is_head",
        "began_s",
        "keeps_alive",
        "ready_s",
        "request",
        "response",
        "target",
        "task",
    )

    def __init__(
        self,
        request: http_request.HttpRequest | None,
        *,
        began_s: float,
        keeps_alive: bool,
    ):
        self.request = request
        self.began_s = began_s
        self.keeps_alive = keeps_alive
        self.target = request.target if request else ""
        self._is_head = request is not None and request.method == "HEAD"
        self.task: asyncio.Task | None = None
        self.response: http_response.HttpResponse | None = None
        self.ready_s = 0.0

    def encode(self) -> bytes:
        """Returns the bytes of the answer.

        Raises:
            exceptions.MalformedHeadError: A header cannot be sent.
        """
        response = self.response
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in response.headers
        ]
        has_body = response.status not in _NO_BODY
        if has_body:
            headers.append((b"content-length", b"%d" % len(response.body)))
        if not self.keeps_alive:
            headers.append((b"connection", b"close"))
        head = http_head.response(response.status, headers)
        return head if self._is_head or not has_body else head + response.body
