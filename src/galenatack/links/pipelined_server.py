"""An HTTP/1.1 listener with pipelining."""

import asyncio
import os
import socket

import anyio

from galenatack import steady_clock
from galenatack.clients import client_account
from galenatack.clients import client_bounds
from galenatack.clients import connection_slots
from galenatack.links import connection_limits
from galenatack.links import connection_stats
from galenatack.links import http_request
from galenatack.links import large_bodies
from galenatack.links import pipelined_connection
from galenatack.links import request_turns

BACKLOG = 1024

ACCEPT_HANDLES = 16
"""Handles of the listener of callers. The event loop accepts one connection a
handle and turn, so that a crowd would keep others waiting in the backlog."""

MAX_CONNECTIONS = 1 << 16
"""Limit for a listener that has none of its own; it has no effect."""

LARGE_SHARE = 3
"""Long bodies may take this part of the memory for clients: each is copied
when it is passed on."""

MAX_LARGE_REQUESTS = 8
"""Number of requests of the maximum size that are received at a time."""

READ_BYTES = 8_192
"""Bytes that are read and parsed at a time, before other connections have their
turn: a faulty caller may send many small pieces at once."""

IDLE_CHECK_S = 0.5
"""How often the timeouts of connections are checked."""


def _no_limit(request: http_request.HttpRequest) -> None:
    del request


class PipelinedServer:
    """Serves `PipelinedConnection`s on one address.

    Args:
        address: host:port to listen on.
        respond: Answers a request.
        time_limit: Limits the time to receive a request; by default the limits
            of connections do.
        limits: Limits of connections; changes apply at once.
        account: Counts the memory that clients hold; listeners can share it.
        max_connections: Maximum number of connections.
        accept_handles: Number of connections that are accepted in one turn of
            the event loop.

    Attributes:
        limits: Limits of connections.
        stats: Counters of all connections.
    """

    def __init__(
        self,
        *,
        address: str,
        respond: pipelined_connection.Respond,
        time_limit: pipelined_connection.TimeLimit = _no_limit,
        limits: connection_limits.ConnectionLimits | None = None,
        account: client_account.ClientAccount | None = None,
        max_connections: int = MAX_CONNECTIONS,
        accept_handles: int = 1,
    ):
        self._address = address
        self._respond = respond
        self._time_limit = time_limit
        self.limits = limits or connection_limits.ConnectionLimits()
        self._connections: set[pipelined_connection.PipelinedConnection] = set()
        self._read_buffer = bytearray(READ_BYTES)
        self._account = account or client_account.ClientAccount(
            bounds=client_bounds.derive(memory_mb=0, max_fds=0),
            now_s=steady_clock.now_s,
        )
        self._slots = connection_slots.ConnectionSlots(
            account=self._account, max_connections=max_connections
        )
        self._large_bodies = large_bodies.LargeBodies(
            max_bytes=min(
                MAX_LARGE_REQUESTS * self.limits.max_body_bytes,
                self._account.bounds.held_bytes // LARGE_SHARE,
            )
        )
        self._turns = request_turns.RequestTurns()
        self.stats = connection_stats.ConnectionStats()
        self._accept_handles = accept_handles
        self._servers: list[asyncio.AbstractServer] = []
        self._is_draining = False

    @property
    def busy(self) -> int:
        """Number of connections with an unanswered request."""
        return sum(not connection.is_idle for connection in self._connections)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    async def listen(self) -> None:
        """Opens the listener.

        Raises:
            OSError: The address cannot be used.
        """
        host, _, port = self._address.rpartition(":")
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            self._make_connection, host=host, port=int(port), backlog=BACKLOG
        )
        self._servers.append(server)
        for listener in tuple(server.sockets):
            for _ in range(self._accept_handles - 1):
                copy = socket.socket(fileno=os.dup(listener.fileno()))
                self._servers.append(
                    await loop.create_server(
                        self._make_connection, sock=copy, backlog=BACKLOG
                    )
                )

    async def run(self) -> None:
        """Enforces timeouts until cancelled, then drops all connections."""
        try:
            while True:
                await anyio.sleep(IDLE_CHECK_S)
                now_s = asyncio.get_running_loop().time()
                for connection in tuple(self._connections):
                    connection.check_time(now_s)
        finally:
            self.close()

    def drain(self) -> None:
        """Closes each connection after an answer that leaves none pending."""
        self._is_draining = True
        for connection in self._connections:
            connection.drain()

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        while self._servers:
            self._servers.pop().close()

    def finish(self) -> None:
        """Stops accepting; answers the requests that have begun to arrive."""
        self.stop_listening()
        for connection in tuple(self._connections):
            connection.finish()

    def close(self) -> None:
        """Drops all connections."""
        self.stop_listening()
        for connection in tuple(self._connections):
            connection.abort()

    def _make_connection(self) -> pipelined_connection.PipelinedConnection:
        connection = pipelined_connection.PipelinedConnection(
            respond=self._respond,
            time_limit=self._time_limit,
            limits=self.limits,
            connections=self._connections,
            read_buffer=self._read_buffer,
            large_bodies=self._large_bodies,
            stats=self.stats,
            account=self._account,
            slots=self._slots,
            turns=self._turns,
        )
        if self._is_draining:
            connection.drain()
        return connection
