"""Opens and accepts peer links."""

from websockets import exceptions as websockets_exceptions
from websockets.asyncio import client as websockets_client
from websockets.asyncio import connection as websockets_connection
from websockets.asyncio import server as websockets_server

from galenatack import exceptions
from galenatack.interfaces import clock as clock_interface
from galenatack.links import fault_injector
from galenatack.links import handshake
from galenatack.links import handshake_limit
from galenatack.links import inbound_limit
from galenatack.links import link_purpose
from galenatack.links import message_codec
from galenatack.links import peer_link
from galenatack.links import tls
from galenatack.links import traffic_counter
from galenatack.membership import member_table
from galenatack.messages import hello

OPEN_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 1.0
TLS_TIMEOUT_S = 5.0
"""Timeout for inbound TLS handshakes, instead of asyncio's 60 s.

Dialling peers give up after `OPEN_TIMEOUT_S`.
"""

# Pings are off because links send heartbeats. Compression is off because it
# costs CPU and about 64 KB per connection, and frames are small.
_OPTIONS = {
    "compression": None,
    "max_size": message_codec.MAX_FRAME_BYTES,
    "open_timeout": OPEN_TIMEOUT_S,
    "close_timeout": CLOSE_TIMEOUT_S,
    "ping_interval": None,
}


class LinkFactory:
    """Creates links from connections.

    Args:
        deployment: Name of the deployment.
        table: Member table; provides the own record.
        clock: Clock of the links.
        faults: Partitions and delays.
        traffic: Counters of all links.
        peer_tls: TLS contexts.
    """

    def __init__(
        self,
        *,
        deployment: str,
        table: member_table.MemberTable,
        clock: clock_interface.Clock,
        faults: fault_injector.FaultInjector,
        traffic: traffic_counter.TrafficCounter,
        peer_tls: tls.PeerTls,
    ):
        self._table = table
        self._clock = clock
        self._faults = faults
        self._traffic = traffic
        self._tls = peer_tls
        self._handshake = handshake.Handshake(
            deployment=deployment, own_id=table.own.node_id, faults=faults
        )

    def listen(
        self,
        address: str,
        on_accepted: inbound_limit.OnAccepted,
        *,
        handshakes: handshake_limit.HandshakeLimit,
        max_links: int,
    ) -> websockets_server.serve:
        """Returns the server of an address as an async context manager.

        Args:
            address: host:port; port 0 selects a free port.
            on_accepted: Coroutine function that serves a connection.
            handshakes: Limits the connections that are not links yet.
            max_links: Maximum number of accepted connections.
        """
        host, _, port = address.rpartition(":")
        options: dict[str, object] = dict(_OPTIONS)
        if self._tls.server is not None:
            options["ssl_handshake_timeout"] = TLS_TIMEOUT_S
        return websockets_server.serve(
            inbound_limit.InboundLimit(on_accepted, max_connections=max_links),
            host,
            int(port),
            ssl=self._tls.server,
            create_connection=handshakes.make_connection,
            **options,
        )

    async def dial(
        self, address: str, purpose: link_purpose.LinkPurpose
    ) -> tuple[peer_link.PeerLink, hello.Hello]:
        """Opens a link.

        Raises:
            exceptions.PeerUnreachableError: The connection failed.
            exceptions.ProtocolError: The handshake was refused.
        """
        connection = await self._connect(address)
        try:
            peer_hello = await self._handshake.dial(
                connection, record=self._table.own, purpose=purpose
            )
        except BaseException:
            connection.transport.abort()
            raise
        return self._make_link(
            connection, peer_hello, purpose, True
        ), peer_hello

    async def accept(
        self, connection: websockets_connection.Connection
    ) -> tuple[peer_link.PeerLink, hello.Hello]:
        """Creates a link from an inbound connection.

        Raises:
            exceptions.PeerUnreachableError: The peer disconnected.
            exceptions.ProtocolError: The peer was refused.
        """
        peer_hello = await self._handshake.accept(
            connection, record=self._table.own
        )
        purpose = link_purpose.LinkPurpose(peer_hello.purpose)
        return self._make_link(
            connection, peer_hello, purpose, False
        ), peer_hello

    async def _connect(self, address: str) -> websockets_connection.Connection:
        scheme = "wss" if self._tls.client else "ws"
        try:
            return await websockets_client.connect(
                f"{scheme}://{address}/",
                ssl=self._tls.client,
                proxy=None,
                user_agent_header=None,
                **_OPTIONS,
            )
        except (
            OSError,
            TimeoutError,
            ValueError,
            websockets_exceptions.WebSocketException,
        ) as error:
            raise exceptions.PeerUnreachableError(
                f"cannot connect to {address}: {error}"
            ) from error

    def _make_link(
        self,
        connection: websockets_connection.Connection,
        peer_hello: hello.Hello,
        purpose: link_purpose.LinkPurpose,
        dialled: bool,
    ) -> peer_link.PeerLink:
        return peer_link.PeerLink(
            connection=connection,
            record=peer_hello.record,
            purpose=purpose,
            dialled=dialled,
            clock=self._clock,
            faults=self._faults,
            traffic=self._traffic,
        )
