"""Limits the connections that a node accepts from its peers."""

import collections.abc
import logging

from websockets.asyncio import connection as websockets_connection

MAX_INBOUND = 8192
"""Each of 4,400 nodes may hold a link for calls; the overlay adds a few."""

Accepted = collections.abc.Callable[
    [websockets_connection.Connection], collections.abc.Awaitable[None]
]

_LOGGER = logging.getLogger(__name__)


class InboundLimit:
    """Aborts connections above the limit.

    Args:
        accepted: Coroutine function that serves a connection to its end.
        most: Connections that are served at once.
    """

    def __init__(self, accepted: Accepted, *, most: int = MAX_INBOUND):
        self._accepted = accepted
        self._most = most
        self._open = 0
        self._is_full = False

    async def __call__(
        self, connection: websockets_connection.Connection
    ) -> None:
        """Serves one connection."""
        if self._open >= self._most:
            self._refuse(connection)
            return
        self._is_full = False
        self._open += 1
        try:
            await self._accepted(connection)
        finally:
            self._open -= 1

    def _refuse(self, connection: websockets_connection.Connection) -> None:
        # One line each time the limit is reached; a loop of dials must not
        # fill the log.
        if not self._is_full:
            _LOGGER.warning("event=peers-full connections=%d", self._open)
        self._is_full = True
        connection.transport.abort()
