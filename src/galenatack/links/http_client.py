"""Requests to one HTTP server over reused connections."""

import math

from galenatack import exceptions
from galenatack.links import connection_pool
from galenatack.links import http_head
from galenatack.links import target_connection


class HttpClient:
    """Sends whole requests and returns whole answers.

    Args:
        address: host:port of the server.
        max_connections: Most connections; further requests wait.
        connect_timeout_s: Longest time for a new connection.
        max_answer_bytes: Largest body of an answer.
    """

    def __init__(
        self,
        *,
        address: str,
        max_connections: int,
        connect_timeout_s: float,
        max_answer_bytes: int,
    ):
        host, _, port = address.rpartition(":")
        self._host_header = address.encode("ascii")
        self._pool = connection_pool.ConnectionPool(
            host=host,
            port=int(port),
            max_connections=max_connections,
            connect_timeout_s=connect_timeout_s,
            max_answer_bytes=max_answer_bytes,
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
            headers: Headers; a `host` among them replaces the address.
            body: Whole body.
            max_idle_s: Longest idle time of a connection that is reused.
            is_answer: Tells whether an answer belongs to this request.

        Raises:
            exceptions.TargetConnectError: Nothing was sent.
            exceptions.TargetAnswerLostError: It may have been handled.
        """
        request = self._request(method, target, headers, body)
        connection = await self._pool.acquire(max_idle_s=max_idle_s)
        try:
            return await connection.exchange(
                request, is_answer=is_answer, is_head_request=method == "HEAD"
            )
        finally:
            self._pool.release(connection)

    async def close(self) -> None:
        """Closes the idle connections."""
        await self._pool.close()

    def _request(
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
