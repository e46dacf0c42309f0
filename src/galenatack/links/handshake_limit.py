"""Limits inbound peer connections that are not links yet."""

import asyncio
import typing

from websockets.asyncio import server as websockets_server

from galenatack import steady_clock
from galenatack.clients import client_account
from galenatack.clients import connection_slots

MAX_HELLO_BYTES = 65_536
"""Limit on messages of a peer that has not said who it is; a Hello has about
300 bytes. Long messages would add up over all such connections."""

MAX_UNLINKED_BYTES = MAX_HELLO_BYTES + 16_384
"""Limit on all bytes of such a peer: its head and its Hello. The library would
keep a head of 1 MB, and answers each ping, whoever reads that."""


class LimitedConnection(websockets_server.ServerConnection):
    """An inbound connection; implements `connection_slots.SlotUser`."""

    has_served = False
    unanswered = 0

    def __init__(
        self,
        limit: "HandshakeLimit",
        *args: typing.Any,
        **options: typing.Any,
    ):
        super().__init__(*args, **options)
        self._limit = limit
        self.protocol.max_message_size = MAX_HELLO_BYTES
        self._received_bytes = 0
        self.last_active_s = steady_clock.now_s()

    def data_received(self, data: bytes) -> None:
        """Receives bytes, few of them until the peer has said who it is."""
        if self.protocol.max_message_size == MAX_HELLO_BYTES:
            self._received_bytes += len(data)
            if self._received_bytes > MAX_UNLINKED_BYTES:
                self._limit.record_shed(self._received_bytes)
                self.abort()
                return
        super().data_received(data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection; an older one may be closed for it."""
        super().connection_made(transport)
        self._limit.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends counting the connection."""
        self._limit.remove(self)
        super().connection_lost(exc)

    def abort(self) -> None:
        """Closes the connection at once."""
        self._limit.remove(self)
        self.transport.abort()


class HandshakeLimit:
    """Counts connections until they are links.

    Args:
        slots: Closes the oldest connection beyond the limit.
        account: Counts the connections that are closed.
    """

    def __init__(
        self,
        slots: connection_slots.ConnectionSlots,
        *,
        account: client_account.ClientAccount,
    ):
        self._slots = slots
        self._account = account
        self._connections: set[connection_slots.SlotUser] = set()

    def make_connection(
        self, *args: typing.Any, **options: typing.Any
    ) -> LimitedConnection:
        """Returns a connection that is counted from its first moment on."""
        return LimitedConnection(self, *args, **options)

    def add(self, connection: LimitedConnection) -> None:
        """Counts a connection."""
        self._slots.make_room(self._connections)
        self._connections.add(connection)

    def record_shed(self, received_bytes: int) -> None:
        """Counts and logs a peer that has sent too much."""
        self._account.record_shed("peer-bytes", received_bytes=received_bytes)

    def remove(self, connection: connection_slots.SlotUser) -> None:
        """Ends counting a connection: it is a link, or closed."""
        self._connections.discard(connection)
