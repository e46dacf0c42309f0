"""Limits the number of connections of a listener."""

import collections.abc
import typing

from galenatack.clients import client_account

YOUNG_S = 1.0
"""A client has sent its request after this time if it ever does."""

MIN_PIPELINED = 2
"""A connection with fewer requests is not closed while they run."""


class SlotUser(typing.Protocol):
    """A connection.

    Attributes:
        has_served: True once it brought a whole request.
        last_active_s: When something was last received.
    """

    has_served: bool
    last_active_s: float

    @property
    def unanswered(self) -> int:
        """Number of requests that await their answers."""

    def abort(self) -> None:
        """Closes the connection at once."""


class ConnectionSlots:
    """Makes room for a new connection by closing one that is of less use.

    Those that never brought a whole request go first, but for those that have
    just come; then the one with most unanswered requests, if it pipelines;
    then those that have just come, and idle ones. Among equals, the one that
    has been silent for longest goes.

    Args:
        account: Counts the connections that are closed.
        max_connections: Maximum number of connections.
    """

    def __init__(
        self,
        *,
        account: client_account.ClientAccount,
        max_connections: int,
    ):
        self._account = account
        self._max_connections = max_connections

    def make_room(
        self, connections: collections.abc.Collection[SlotUser]
    ) -> bool:
        """Closes a connection if there are too many.

        Args:
            connections: Open connections; closed ones leave it at once.

        Returns:
            False if all run one request: a new one cannot be taken.
        """
        if len(connections) < self._max_connections:
            return True
        self._account.record_shed(
            "connections",
            connections=len(connections),
            limit=self._max_connections,
        )
        victim = _choose(connections)
        if victim is None:
            return False
        victim.abort()
        return True


def _choose(
    connections: collections.abc.Collection[SlotUser],
) -> SlotUser | None:
    """Returns the connection to close; None if all run one request."""
    idle = [item for item in connections if not item.unanswered]
    newest_s = max(item.last_active_s for item in connections)
    silent = [
        item
        for item in idle
        if not item.has_served and item.last_active_s < newest_s - YOUNG_S
    ]
    if silent:
        return min(silent, key=_usefulness)
    busiest = max(connections, key=lambda item: item.unanswered)
    if busiest.unanswered >= MIN_PIPELINED:
        return busiest
    return min(idle, key=_usefulness, default=None)


def _usefulness(connection: SlotUser) -> tuple[bool, float]:
    return connection.has_served, connection.last_active_s
