"""Pool of HTTP/1.1 connections to one host."""

import asyncio
import math

import anyio

from galenatack import exceptions
from galenatack import steady_clock
from galenatack.links import keep_alive
from galenatack.links import large_bodies
from galenatack.links import target_connection

KEEP_ALIVE_MARGIN_S = 1.0
"""A connection is discarded this long before the server would close it."""

MAX_LARGE_ANSWERS = 6
"""Number of long answers that are received from a host at a time."""


class ConnectionPool:
    """Connections to one host; the most recently used is reused first.

    Args:
        host: Host name or address.
        port: TCP port.
        max_connections: Maximum number of connections; further calls wait.
        connect_timeout_s: Timeout for a new connection.
        max_answer_bytes: Maximum size of an answer body.
        keep_idle_s: Idle time after which a connection is closed.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        max_connections: int,
        connect_timeout_s: float,
        max_answer_bytes: int,
        keep_idle_s: float = math.inf,
    ):
        self._host = host
        self._port = port
        self._connect_timeout_s = connect_timeout_s
        self._max_answer_bytes = max_answer_bytes
        self._large_bodies = large_bodies.LargeBodies(
            max_bytes=MAX_LARGE_ANSWERS * max_answer_bytes
        )
        self._keep_idle_s = keep_idle_s
        self._idle: list[target_connection.TargetConnection] = []
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._max_connections = max_connections
        self._limit: anyio.Semaphore | None = None

    async def acquire(
        self, *, max_idle_s: float = math.inf
    ) -> target_connection.TargetConnection:
        """Returns an idle or a new connection; return it with `release`.

        Args:
            max_idle_s: A connection that was idle for longer is not reused:
                the server may be closing it, and it would be unknown
                whether a request sent at that moment ran.

        Raises:
            exceptions.TargetConnectError: No connection could be made.
        """
        if self._limit is None:
            self._limit = self._make_limit()
        await self._limit.acquire()
        try:
            self._drop_stale()
            if self._idle and self._idle_s(self._idle[-1]) <= max_idle_s:
                return self._idle.pop()
            return await self._connect()
        except BaseException:
            self._limit.release()
            raise

    async def open_idle(self) -> None:
        """Opens a new connection, which stays idle.

        Raises:
            exceptions.TargetConnectError: No connection could be made.
        """
        if self._limit is None:
            self._limit = self._make_limit()
        await self._limit.acquire()
        try:
            connection = await self._connect()
        except BaseException:
            self._limit.release()
            raise
        self.release(connection)

    def release(self, connection: target_connection.TargetConnection) -> None:
        """Returns a connection to the pool, or closes it if unusable."""
        if connection.is_usable:
            connection.released_s = steady_clock.now_s()
            self._idle.append(connection)
            self._sweep_later()
        else:
            connection.close()
        self._limit.release()

    async def close(self) -> None:
        """Closes the idle connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        while self._idle:
            self._idle.pop().close()

    def _make_limit(self) -> anyio.Semaphore:
        return anyio.Semaphore(self._max_connections, fast_acquire=True)

    def _drop_stale(self) -> None:
        kept = []
        for connection in self._idle:
            bound_s = self._keep_idle_s
            if connection.keep_alive_s is not None:
                server_s = connection.keep_alive_s - KEEP_ALIVE_MARGIN_S
                bound_s = min(bound_s, server_s)
            is_stale = self._idle_s(connection) > bound_s
            if is_stale or not connection.is_usable:
                connection.close()
            else:
                kept.append(connection)
        self._idle = kept

    def _sweep_later(self) -> None:
        """Closes stale connections also if no further call comes."""
        if self._sweep_timer is None and self._keep_idle_s < math.inf:
            self._sweep_timer = asyncio.get_running_loop().call_later(
                self._keep_idle_s, self._sweep
            )

    def _sweep(self) -> None:
        self._sweep_timer = None
        self._drop_stale()
        if self._idle:
            self._sweep_later()

    def _idle_s(self, connection: target_connection.TargetConnection) -> float:
        return steady_clock.now_s() - connection.released_s

    async def _connect(self) -> target_connection.TargetConnection:
        loop = asyncio.get_running_loop()
        try:
            with anyio.fail_after(self._connect_timeout_s):
                transport, connection = await loop.create_connection(
                    self._make_connection, self._host, self._port
                )
        # A port out of range is an `OverflowError`.
        except (OSError, TimeoutError, OverflowError) as error:
            raise exceptions.TargetConnectError(
                f"{self._host}:{self._port}: {error or 'timeout'}"
            ) from error
        keep_alive.enable(transport)
        return connection

    def _make_connection(self) -> target_connection.TargetConnection:
        return target_connection.TargetConnection(
            max_answer_bytes=self._max_answer_bytes,
            large_bodies=self._large_bodies,
        )
