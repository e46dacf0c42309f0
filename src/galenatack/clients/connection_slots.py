"""Limits the number of connections of a listener."""

import collections.abc
import typing

from galenatack.clients import client_account


class SlotUser(typing.Protocol):
    """A connection.

    Attributes:
        has_served: True once it brought a whole request.
        last_active_s: When something was last received.
    """

    has_served: bool
    last_active_s: float

    @property
    def is_running(self) -> bool:
        """True if a request awaits its answer."""

    def abort(self) -> None:
        """Closes the connection at once."""


class ConnectionSlots:
    """Makes room for a new connection by closing one that is of less use.

    Those that never brought a whole request go first, then those that are
    idle; among equals, the one that has been silent for longest.

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
            False if all run requests: a new one cannot be taken.
        """
        if len(connections) < self._max_connections:
            return True
        self._account.record_shed(
            "connections",
            connections=len(connections),
            limit=self._max_connections,
        )
        idle = [item for item in connections if not item.is_running]
        if not idle:
            return False
        min(idle, key=_usefulness).abort()
        return True


def _usefulness(connection: SlotUser) -> tuple[bool, float]:
    return connection.has_served, connection.last_active_s
