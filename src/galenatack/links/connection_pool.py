"""Reused HTTP/1.1 connections to one host."""

import asyncio

import anyio

from galenatack import exceptions
from galenatack.links import target_connection


class ConnectionPool:
    """Keeps connections to one host; the latest used is reused first.

    Args:
        host: Host name or address.
        port: TCP port.
        max_connections: Most connections; further calls wait.
        connect_timeout_s: Longest time for a new connection.
        max_answer_bytes: Largest body of an answer.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        max_connections: int,
        connect_timeout_s: float,
        max_answer_bytes: int,
    ):
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._idle: list[target_connection.TargetConnection] = []
        self._max_connections = max_connections
        self._limit: anyio.Semaphore | None = None

    async def acquire(self) -> target_connection.TargetConnection:
        """Returns an idle or a new connection; give it back by `release`.

        Raises:
            exceptions.TargetConnectError: No connection could be made.
        """
        if self._limit is None:
            self._limit = anyio.Semaphore(
                self._max_connections, fast_acquire=True
            )
        await self._limit.acquire()
        try:
            while self._idle:
                connection = self._idle.pop()
                if connection.is_usable:
                    return connection
            return await self._connect()
        except BaseException:
            self._limit.release()
            raise

    def release(self, connection: target_connection.TargetConnection) -> None:
        """Takes a connection back; it is kept when it can be reused."""
        if connection.is_usable:
            self._idle.append(connection)
        else:
            connection.close()
        self._limit.release()

    async def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    async def _connect(self) -> target_connection.TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(self._connect_timeout_s):
                _, connection = await loop.create_connection(
                    self._make, self._host, self._port
                )
        except (OSError, TimeoutError) as error:
            raise exceptions.TargetConnectError(str(error)) from error
        return connection

    def _make(self) -> target_connection.TargetConnection:
        return target_connection.TargetConnection(
            max_answer_bytes=self._max_answer_bytes
        )
