"""Limits the number of inbound peer connections of a node."""

import collections.abc
import logging

from websockets.asyncio import connection as websockets_connection

MAX_INBOUND = 8192
"""Each of 4,400 nodes may open a link for calls; the overlay adds a few."""

OnAccepted = collections.abc.Callable[
    [websockets_connection.Connection], collections.abc.Awaitable[None]
]

_LOGGER = logging.getLogger(__name__)


class InboundLimit:
    """Aborts connections above the limit.

    Args:
        on_accepted: Coroutine function that serves a connection until it
            closes.
        max_connections: Maximum number of concurrent connections.
    """

    def __init__(
        self, on_accepted: OnAccepted, *, max_connections: int = MAX_INBOUND
    ):
        self._on_accepted = on_accepted
        self._max_connections = max_connections
        self._open_count = 0
        self._is_full = False

    async def __call__(
        self, connection: websockets_connection.Connection
    ) -> None:
        """Serves one connection."""
        if self._open_count >= self._max_connections:
            self._refuse(connection)
            return
        self._is_full = False
        self._open_count += 1
        try:
            await self._on_accepted(connection)
        finally:
            self._open_count -= 1

    def _refuse(self, connection: websockets_connection.Connection) -> None:
        # Logged once each time the limit is reached; repeated dials must not
        # flood the log.
        if not self._is_full:
            _LOGGER.warning("event=peers-full connections=%d", self._open_count)
        self._is_full = True
        connection.transport.abort()
