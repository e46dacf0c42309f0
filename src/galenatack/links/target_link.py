"""HTTP link to the node's target."""

import json

import httpx

from galenatack import exceptions
from galenatack.links import connection_pool
from galenatack.links import http_head
from galenatack.model import call_request
from galenatack.model import target_answer
from galenatack.routing import call_parser

MAX_CONNECTIONS = 100
# Cancels use a separate pool: they must not wait for the calls they cancel.
_CANCEL_CONNECTIONS = 4
_HTTP_PORT = 80
_CONNECT_TIMEOUT_S = 1.0
_UNAVAILABLE = 503
_RETRY_AFTER = "retry-after"
_MS_PER_S = 1000
CALL_ID_HEADER = "galenatack-call-id"
CALLS_PATH = "/_target/calls/"
_CALL_ID = CALL_ID_HEADER.encode()
_DEADLINE = call_parser.DEADLINE_HEADER.encode()


class HttpTargetLink:
    """Implements `interfaces.target_link.TargetLink` over HTTP/1.1.

    A target sheds a call with a 503 and `Retry-After`. It must not do so once
    the call has started.

    Args:
        base_url: Base URL of the target, such as http://127.0.0.1:8000.
        max_connections: Maximum number of connections to the target.
        max_answer_bytes: Maximum size of an answer body.
    """

    def __init__(
        self,
        *,
        base_url: str,
        max_connections: int = MAX_CONNECTIONS,
        max_answer_bytes: int = 4_194_304,
    ):
        url = httpx.URL(base_url)
        if url.scheme != "http":
            raise exceptions.SettingsError("target_url must begin with http://")
        self._host = url.host
        self._port = url.port or _HTTP_PORT
        self._host_header = f"{self._host}:{self._port}".encode()
        self._max_answer_bytes = max_answer_bytes
        self._calls = self._make_pool(max_connections)
        self._cancels = self._make_pool(_CANCEL_CONNECTIONS)

    async def call(
        self, request: call_request.CallRequest
    ) -> target_answer.TargetAnswer:
        """Sends a call with its deadline and returns the complete answer.

        Raises:
            exceptions.TargetConnectError: The call did not start.
            exceptions.TargetShedError: The target refused the call before
                it started.
            exceptions.TargetAnswerLostError: The call may have run.
        """
        answer = await self._exchange(
            self._calls,
            request.method,
            request.path,
            self._request_headers(request),
            request.body,
        )
        if answer.status == _UNAVAILABLE:
            _raise_if_shed(answer)
        return answer

    async def cancel(self, call_id: str) -> bool:
        """Cancels a call; returns True if it will never start."""
        try:
            answer = await self._exchange(
                self._cancels,
                "DELETE",
                CALLS_PATH + call_id,
                [(b"host", self._host_header)],
                b"",
            )
            body = json.loads(answer.body)
        except (exceptions.CallError, ValueError):
            return False
        return isinstance(body, dict) and body.get("cancelled") is True

    async def close(self) -> None:
        """Closes all connections."""
        await self._calls.close()
        await self._cancels.close()

    def _make_pool(
        self, max_connections: int
    ) -> connection_pool.ConnectionPool:
        return connection_pool.ConnectionPool(
            host=self._host,
            port=self._port,
            max_connections=max_connections,
            connect_timeout_s=_CONNECT_TIMEOUT_S,
            max_answer_bytes=self._max_answer_bytes,
        )

    def _request_headers(
        self, request: call_request.CallRequest
    ) -> list[tuple[bytes, bytes]]:
        headers = [
            (b"host", self._host_header),
            (_CALL_ID, request.call_id.encode()),
            (_DEADLINE, b"%d" % request.deadline_ms),
        ]
        if request.body or request.posting:
            headers.append((b"content-length", b"%d" % len(request.body)))
        for name, value in request.headers:
            headers.append((name.encode("latin-1"), value.encode("latin-1")))
        return headers

    async def _exchange(
        self,
        pool: connection_pool.ConnectionPool,
        method: str,
        path: str,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> target_answer.TargetAnswer:
        try:
            head = http_head.request(
                method.encode("ascii"), path.encode("latin-1"), headers
            )
        except (exceptions.MalformedHeadError, UnicodeEncodeError) as error:
            raise exceptions.TargetConnectError(str(error)) from error
        connection = await pool.acquire()
        try:
            answer = await connection.exchange(
                head + body, is_head_request=method == "HEAD"
            )
            if answer.status == _UNAVAILABLE:
                # A second copy of a refusal would refuse the next call.
                connection.close()
        finally:
            pool.release(connection)
        answer_headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in answer.headers
        )
        return target_answer.TargetAnswer(
            answer.status, call_parser.forwarded(answer_headers), answer.body
        )


def _raise_if_shed(answer: target_answer.TargetAnswer) -> None:
    for name, value in answer.headers:
        if name == _RETRY_AFTER:
            seconds = int(value) if value.isdecimal() else 1
            raise exceptions.TargetShedError(
                "target sheds load", retry_after_ms=seconds * _MS_PER_S
            )
