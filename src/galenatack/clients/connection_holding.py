"""What one connection makes the node keep."""

import collections.abc

from galenatack.clients import client_account

CONNECTION_BYTES = 8_192
"""An idle connection with its parser and transport takes about 7 kB."""


class ConnectionHolding:
    """Implements `client_account.Holder` for a connection.

    Args:
        account: Account of the node.
        on_shed: Called when the connection has to free memory.

    Attributes:
        is_ending: True once the connection was closed.
        waiting_bytes: Memory for requests that have not begun to run.
    """

    def __init__(
        self,
        *,
        account: client_account.ClientAccount,
        on_shed: collections.abc.Callable[[], None],
    ):
        self._account = account
        self._on_shed: collections.abc.Callable[[], None] | None = on_shed
        self.is_ending = False
        self.waiting_bytes = 0
        self._unsent_bytes = 0
        self._running_bytes = 0

    @property
    def is_mostly_waiting(self) -> bool:
        """True if most of the memory is for what has not begun to run."""
        return self.waiting_bytes > self._unsent_bytes + self._running_bytes

    def begin(self, running_bytes: int) -> bool:
        """Counts a request that begins to run.

        Args:
            running_bytes: Memory that it takes.

        Returns:
            False if there is no room for it; it is not counted then.
        """
        if not self._account.has_room(running_bytes):
            self._account.record_shed("memory", client_bytes=running_bytes)
            return False
        self._running_bytes += running_bytes
        return True

    def end(self, running_bytes: int) -> None:
        """Takes back what a request held."""
        self._running_bytes -= running_bytes

    def update(self, *, waiting_bytes: int, unsent_bytes: int) -> None:
        """Tells the account what an open connection holds."""
        self.waiting_bytes = waiting_bytes
        self._unsent_bytes = unsent_bytes
        self._account.update(
            self,
            CONNECTION_BYTES
            + waiting_bytes
            + unsent_bytes
            + self._running_bytes,
        )

    def update_closed(self) -> None:
        """Tells the account what the requests of a closed connection hold."""
        self.is_ending = True
        self.waiting_bytes = self._unsent_bytes = 0
        self._account.update(self, self._running_bytes)

    def shed(self) -> None:
        """Frees memory."""
        if self._on_shed is not None:
            self._on_shed()

    def detach(self) -> None:
        """Forgets a lost connection, which refers to this object as well.

        Without this cycle, the memory of the connection is free at once.
        """
        self._on_shed = None
