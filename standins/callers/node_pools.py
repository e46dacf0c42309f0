"""Connection pools of the callers, one per node."""

import contextlib
import typing
import urllib.parse

import httpcore

_CONNECTIONS = 200


class NodePools:
    """Keeps a separate connection pool for each node.

    A request checks every connection of its pool, with a system call for each
    idle one; a single pool for all nodes saturated the callers' CPU core.
    """

    def __init__(self):
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "NodePools":
        """Opens no connections; a pool is created by its first request."""
        await self._stack.__aenter__()
        return self

    async def __aexit__(self, *error) -> None:
        """Closes all connections."""
        await self._stack.__aexit__(*error)

    async def request(
        self,
        method: str,
        url: str,
        *,
        headers: list[tuple[bytes, bytes]],
        content: bytes | None,
    ) -> httpcore.Response:
        """Sends a request on a connection to its node."""
        pool = await self._pool(urllib.parse.urlsplit(url).netloc)
        return await pool.request(method, url, headers=headers, content=content)

    async def _pool(self, node: str) -> typing.Any:
        if node not in self._pools:
            pool = httpcore.AsyncConnectionPool(
                max_connections=_CONNECTIONS,
                max_keepalive_connections=_CONNECTIONS,
            )
            self._pools[node] = pool
            await self._stack.enter_async_context(pool)
        return self._pools[node]
