"""HTTP client for one server, with a connection pool."""

import math

from galenatack import exceptions
from galenatack.links import connection_pool
from galenatack.links import http_head
from galenatack.links import target_connection


class HttpClient:
    """Sends requests and returns complete answers.

    Args:
        address: host:port of the server.
        max_connections: Maximum number of connections; further requests
            wait.
        connect_timeout_s: Timeout for a new connection.
        max_answer_bytes: Maximum size of an answer body.
        keep_idle_s: Idle time after which a connection is closed.
    """

    def __init__(
        self,
        *,
        address: str,
        max_connections: int,
        connect_timeout_s: float,
        max_answer_bytes: int,
        keep_idle_s: float = math.inf,
    ):
        host, _, port = address.rpartition(":")
        self._host_header = address.encode("ascii")
        self._pool = connection_pool.ConnectionPool(
            host=host,
            port=int(port),
            max_connections=max_connections,
            connect_timeout_s=connect_timeout_s,
            max_answer_bytes=max_answer_bytes,
            keep_idle_s=keep_idle_s,
        )

    async def request(
        self,
        method: str,
        target: str,
        *,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
        max_idle_s: float = math.inf,
        is_answer: target_connection.IsAnswer | None = None,
    ) -> target_connection.RawAnswer:
        """Sends a request; cancelling it closes its connection.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: Headers; a `host` header overrides the address.
            body: Complete body.
            max_idle_s: Maximum idle time of a reused connection.
            is_answer: Returns whether an answer belongs to this request.

        Raises:
            exceptions.TargetConnectError: Nothing was sent.
            exceptions.TargetAnswerLostError: The request may have run.
        """
        request = self._encode_request(method, target, headers, body)
        connection = await self._pool.acquire(max_idle_s=max_idle_s)
        try:
            return await connection.exchange(
                request, is_answer=is_answer, is_head_request=method == "HEAD"
            )
        finally:
            self._pool.release(connection)

    async def connect(self) -> None:
        """Opens a new connection, which later requests use.

        Raises:
            exceptions.TargetConnectError: The server accepts none.
        """
        await self._pool.open_idle()

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.close()

    def _encode_request(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
    ) -> bytes:
        all_headers = list(headers)
        if not any(name == b"host" for name, _ in headers):
            all_headers.append((b"host", self._host_header))
        if body or method not in ("GET", "HEAD", "DELETE"):
            all_headers.append((b"content-length", b"%d" % len(body)))
        try:
            head = http_head.request(
                method.encode("ascii"), target.encode("latin-1"), all_headers
            )
        except (exceptions.MalformedHeadError, UnicodeEncodeError) as error:
            raise exceptions.TargetConnectError(str(error)) from error
        return head + body
