"""Reused HTTP/1.1 connections to one host."""

import asyncio

import anyio
import httpcore

from galenatack.links import byte_stream


class _NoLock:
    """Stands in for a lock that is never contended."""

    async def __aenter__(self) -> None:
        pass

    async def __aexit__(self, *details: object) -> None:
        pass


class ConnectionPool:
    """Keeps connections to one host; the latest used is reused first.

    httpcore's own pool looks at every connection for every request and takes
    a lock twice; for one host a list is enough.

    Args:
        host: Host name or address.
        port: TCP port.
        max_connections: Most connections; further calls wait.
        connect_timeout_s: Longest time for a new connection.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        max_connections: int,
        connect_timeout_s: float,
    ):
        self._host = host
        self._port = port
        self._origin = httpcore.Origin(b"http", host.encode(), port)
        self._connect_timeout_s = connect_timeout_s
        self._idle: list[httpcore.AsyncHTTP11Connection] = []
        self._max_connections = max_connections
        self._limit: anyio.Semaphore | None = None

    async def acquire(self) -> httpcore.AsyncHTTP11Connection:
        """Returns an idle or a new connection; give it back by `release`.

        Raises:
            httpcore.ConnectError: No connection could be made.
        """
        if self._limit is None:
            self._limit = anyio.Semaphore(
                self._max_connections, fast_acquire=True
            )
        await self._limit.acquire()
        try:
            while self._idle:
                connection = self._idle.pop()
                if not connection.has_expired():
                    return connection
                await connection.aclose()
            return await self._connect()
        except BaseException:
            self._limit.release()
            raise

    def release(self, connection: httpcore.AsyncHTTP11Connection) -> None:
        """Takes a connection back; it is kept when it can be reused."""
        if connection.is_idle():
            self._idle.append(connection)
        self._limit.release()

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            await self._idle.pop().aclose()

    async def _connect(self) -> httpcore.AsyncHTTP11Connection:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(self._connect_timeout_s):
                _, stream = await loop.create_connection(
                    byte_stream.ByteStream, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise httpcore.ConnectError(str(error)) from error
        connection = httpcore.AsyncHTTP11Connection(self._origin, stream)
        # The pool hands a connection to one call at a time. The lock would
        # take four turns of the event loop for each call.
        connection._state_lock = _NoLock()
        return connection
