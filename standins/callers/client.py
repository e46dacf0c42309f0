"""HTTP client of the stand-in callers, one pool a node.

One pool for all nodes looks at every connection for every request, which took
most of the callers' processor time at 20 nodes.
"""

import typing

import httpcore

from galenatack.links import connection_pool

CONNECTIONS_PER_NODE = 50
CONNECT_TIMEOUT_S = 1.0


class Answer(typing.NamedTuple):
    """A whole answer.

    Attributes:
        status: HTTP status.
        headers: Values by name in lower case.
        body: Body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class Client:
    """Sends requests over reused connections."""

    def __init__(self):
        self._pools: dict[str, connection_pool.ConnectionPool] = {}

    async def request(
        self,
        method: str,
        node: str,
        path: str,
        *,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> Answer:
        """Sends a request and reads the whole answer.

        Raises:
            httpcore.ConnectError: The request was not sent.
            httpcore.NetworkError: The answer was lost.
        """
        sent = httpcore.Request(
            method,
            f"http://{node}{path}",
            headers=[(b"host", node.encode()), *headers],
            content=body,
        )
        if body:
            sent.headers.append((b"content-length", b"%d" % len(body)))
        pool = self._pool(node)
        connection = await pool.acquire()
        try:
            response = await connection.handle_async_request(sent)
            try:
                content = await response.aread()
            finally:
                await response.aclose()
        finally:
            pool.release(connection)
        found = {
            name.lower().decode(): value.decode()
            for name, value in response.headers
        }
        return Answer(response.status, found, content)

    async def close(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.close()

    def _pool(self, node: str) -> connection_pool.ConnectionPool:
        if node not in self._pools:
            host, _, port = node.rpartition(":")
            self._pools[node] = connection_pool.ConnectionPool(
                host=host,
                port=int(port),
                max_connections=CONNECTIONS_PER_NODE,
                connect_timeout_s=CONNECT_TIMEOUT_S,
            )
        return self._pools[node]
