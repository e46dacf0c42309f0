"""The network of peer links over websockets."""

import collections.abc
import logging
import typing

import anyio
import anyio.abc
from websockets.asyncio import connection as websockets_connection

from galenatack import exceptions
from galenatack import steady_clock
from galenatack.clients import client_account
from galenatack.clients import client_bounds
from galenatack.clients import connection_slots
from galenatack.interfaces import clock as clock_interface
from galenatack.interfaces import peer_network
from galenatack.interfaces import random_source
from galenatack.links import fault_injector
from galenatack.links import handshake_limit
from galenatack.links import link_factory
from galenatack.links import link_keeper
from galenatack.links import link_monitor
from galenatack.links import link_opener
from galenatack.links import link_purpose
from galenatack.links import link_registry
from galenatack.links import message_codec
from galenatack.links import message_server
from galenatack.links import peer_link
from galenatack.links import rejoiner
from galenatack.links import tls
from galenatack.links import traffic_counter
from galenatack.membership import member_table
from galenatack.messages import announced_call
from galenatack.messages import ask_freshness
from galenatack.messages import call
from galenatack.messages import cancel_call
from galenatack.messages import delta
from galenatack.messages import fetch_body
from galenatack.messages import hello
from galenatack.messages import members
from galenatack.messages import quota_ask

STOP_S = 0.5
"""Maximum time for the closing handshakes of a node that stops."""

UNLINKED_TICK_S = 0.05
"""How often a node without links checks for peers to dial."""

_STREAMED = frozenset({delta.Delta, members.Members})
"""Types that are sent to each other region only once.

Anti-entropy repairs losses.
"""

_SENT_WITH_CALLS = frozenset(
    {
        call.Call,
        announced_call.AnnouncedCall,
        fetch_body.FetchBody,
        cancel_call.CancelCall,
        ask_freshness.AskFreshness,
        quota_ask.QuotaAsk,
    }
)
"""Types that use links for calls: also short questions that many nodes
ask few others. Most have such a link already, and each further one costs a
heartbeat a second."""

_LOGGER = logging.getLogger(__name__)

OnLost = collections.abc.Callable[[str], None]


class WebsocketPeers:
    """Implements `interfaces.peer_network.PeerNetwork`.

    Args:
        deployment: Name of the deployment; links to others are refused.
        listen_address: host:port of the listener; port 0 selects a free
            port, which is then set in the own record.
        seeds: Addresses to dial at startup.
        table: Member table; determines which links to maintain.
        clock: Clock of the links.
        rng: Jitter.
        heartbeat_source: Returns the heartbeat to send.
        peer_tls: TLS contexts.
        faults: Partitions and delays, for tests.
        account: Counts connections that are closed; has the bounds.
    """

    def __init__(
        self,
        *,
        deployment: str,
        listen_address: str,
        seeds: tuple[str, ...],
        table: member_table.MemberTable,
        clock: clock_interface.Clock,
        rng: random_source.RandomSource,
        heartbeat_source: link_monitor.HeartbeatSource,
        peer_tls: tls.PeerTls,
        faults: fault_injector.FaultInjector | None = None,
        account: client_account.ClientAccount | None = None,
    ):
        own = table.own
        self._listen_address = listen_address
        self._table = table
        self._clock = clock
        self._tls = peer_tls
        self.fault_injector = faults or fault_injector.FaultInjector(
            own_region=own.region
        )
        self._traffic = traffic_counter.TrafficCounter(own_region=own.region)
        self._registry = link_registry.LinkRegistry(own_id=own.node_id)
        self._protocols: dict[str, int] = {}
        self._server = message_server.MessageServer(account=account)
        account = account or client_account.ClientAccount(
            bounds=client_bounds.derive(memory_mb=0, max_fds=0),
            now_s=steady_clock.now_s,
        )
        self._max_links = account.bounds.links
        self._handshakes = handshake_limit.HandshakeLimit(
            connection_slots.ConnectionSlots(
                account=account, max_connections=account.bounds.handshakes
            ),
            account=account,
        )
        self._on_lost: list[OnLost] = []
        self._tasks: anyio.abc.TaskGroup | None = None
        self._factory = self._make_factory(deployment)
        self._opener = link_opener.LinkOpener(
            factory=self._factory,
            table=table,
            faults=self.fault_injector,
            on_opened=self._start_link,
        )
        self._keeper = self._make_keeper(rng)
        self._rejoiner = self._make_rejoiner(rng, seeds)
        self._monitor = link_monitor.LinkMonitor(
            registry=self._registry,
            clock=clock,
            heartbeat_source=heartbeat_source,
        )

    def on(self, message_type: type, handler: peer_network.Handler) -> None:
        """Registers the handler of a message type.

        `Hello` is dispatched once for each opened link.
        """
        self._server.on(message_type, handler)

    def on_lost(self, callback: OnLost) -> None:
        """Registers a callback for nodes whose last persistent link broke."""
        self._on_lost.append(callback)

    def traffic(self) -> traffic_counter.Traffic:
        """Returns frames and bytes by type, direction and boundary."""
        return self._traffic.traffic()

    def is_connected(self, node_id: str) -> bool:
        """Returns whether a link for calls to a node is open."""
        return self._registry.find(node_id, for_calls=True) is not None

    def protocol(self, node_id: str) -> int:
        """Returns the protocol of a node's last link; 0 before the first."""
        return self._protocols.get(node_id, 0)

    def open_soon(self, node_id: str) -> None:
        """Dials a node in the background unless a link for calls is open."""
        if self._tasks is not None and not self.is_connected(node_id):
            self._tasks.start_soon(self._open_in_background, node_id)

    async def _open_in_background(self, node_id: str) -> None:
        try:
            await self._find_or_open(node_id, for_calls=True)
        except exceptions.PeerError as error:
            _LOGGER.debug("event=dial-failed peer=%s error=%s", node_id, error)

    def neighbours(self) -> frozenset[str]:
        """Returns the node ids of all open overlay and carrier links."""
        return frozenset(link.node_id for link in self._registry.persistent())

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens and maintains links until cancelled.

        Args:
            task_status: Receives the listener's address once it is open.

        Raises:
            OSError: The listener's address cannot be used.
        """
        listener = self._factory.listen(
            self._listen_address,
            self._on_accepted,
            handshakes=self._handshakes,
            max_links=self._max_links,
        )
        async with anyio.create_task_group() as tasks, listener as server:
            self._set_tasks(tasks)
            host, port = next(iter(server.sockets)).getsockname()[:2]
            address = f"{host}:{port}"
            if self._table.own.peer_address.endswith(":0"):
                self._table.update_own(peer_address=address)
            task_status.started(address)
            tasks.start_soon(self._rejoiner.run)
            tasks.start_soon(self._tls.follow_files, self._clock)
            try:
                await self._tick(tasks)
            finally:
                self._set_tasks(None)
                with anyio.CancelScope(shield=True):
                    await self._server.stop()
                await self._close_links()

    async def broadcast(
        self, message: typing.Any, *, exclude: str | None = None
    ) -> None:
        """Sends to all overlay and carrier links except that to `exclude`."""
        kind = type(message)
        own_region = self._table.own.region
        frame: bytes | None = None
        for link in self._registry.persistent():
            is_standby = (
                link.record.region != own_region
                and kind in _STREAMED
                and not self._keeper.is_stream_peer(link.node_id)
            )
            if link.node_id == exclude or is_standby:
                continue
            frame = frame or message_codec.encode(message)
            try:
                link.post_frame(frame, kind)
            except exceptions.PeerUnreachableError:
                continue

    async def send(self, node_id: str, message: typing.Any) -> None:
        """Sends to one node; dials a link if needed."""
        link = await self._find_or_open(
            node_id, for_calls=type(message) in _SENT_WITH_CALLS
        )
        link.post(message)

    async def request(
        self, node_id: str, message: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Sends a request to one node and returns its reply."""
        for_calls = type(message) in _SENT_WITH_CALLS
        link = self._registry.find(node_id, for_calls=for_calls)
        if link is not None:
            return await link.request(message, timeout_s=timeout_s)
        started_s = self._clock.monotonic_s()
        with anyio.move_on_after(timeout_s):
            link = await self._find_or_open(node_id, for_calls=for_calls)
        remaining_s = timeout_s - (self._clock.monotonic_s() - started_s)
        if link is None or remaining_s <= 0:
            raise exceptions.PeerUnreachableError(
                f"no link to {node_id} in {timeout_s:.3f} s"
            )
        return await link.request(message, timeout_s=remaining_s)

    async def _find_or_open(
        self, node_id: str, *, for_calls: bool
    ) -> peer_link.PeerLink:
        link = self._registry.find(node_id, for_calls=for_calls)
        if link is not None:
            return link
        purposes = link_purpose.LinkPurpose
        purpose = purposes.CALLS if for_calls else purposes.DIRECT
        return await self._opener.open(node_id, purpose)

    def _make_factory(self, deployment: str) -> link_factory.LinkFactory:
        return link_factory.LinkFactory(
            deployment=deployment,
            table=self._table,
            clock=self._clock,
            faults=self.fault_injector,
            traffic=self._traffic,
            peer_tls=self._tls,
        )

    def _make_keeper(
        self, rng: random_source.RandomSource
    ) -> link_keeper.LinkKeeper:
        return link_keeper.LinkKeeper(
            table=self._table,
            clock=self._clock,
            rng=rng,
            registry=self._registry,
            open_link=self._opener.open,
        )

    def _make_rejoiner(
        self, rng: random_source.RandomSource, seeds: tuple[str, ...]
    ) -> rejoiner.Rejoiner:
        return rejoiner.Rejoiner(
            table=self._table,
            clock=self._clock,
            rng=rng,
            registry=self._registry,
            seeds=seeds,
            dial=self._opener.open_address,
        )

    async def _close_links(self) -> None:
        with anyio.move_on_after(STOP_S, shield=True):
            async with anyio.create_task_group() as closing:
                for link in self._registry.links():
                    closing.start_soon(link.close_going_away)
        for link in self._registry.links():
            link.abort()

    def _set_tasks(self, tasks: anyio.abc.TaskGroup | None) -> None:
        self._tasks = tasks
        self._opener.tasks = tasks
        self._server.is_open = tasks is not None

    async def _on_accepted(
        self, connection: websockets_connection.Connection
    ) -> None:
        try:
            link, peer_hello = await self._factory.accept(connection)
        except exceptions.PeerError as error:
            _LOGGER.info("event=peer-refused error=%s", error)
            connection.transport.abort()
            return
        self._handshakes.remove(connection)
        self._registry.add(link)
        await self._read_link(link, peer_hello)

    def _start_link(
        self, link: peer_link.PeerLink, peer_hello: hello.Hello
    ) -> None:
        if self._tasks is None:
            link.abort()
            return
        self._registry.add(link)
        self._tasks.start_soon(self._read_link, link, peer_hello)

    async def _read_link(
        self, link: peer_link.PeerLink, peer_hello: hello.Hello
    ) -> None:
        self._protocols[link.node_id] = peer_hello.protocol
        self._server.handle_hello(link, peer_hello)
        self._monitor.send_first_heartbeat(link)
        try:
            await link.run(self._server.receive)
        finally:
            self._registry.remove(link)
            self._report_lost(link)

    def _report_lost(self, link: peer_link.PeerLink) -> None:
        is_persistent = link.purpose in link_purpose.PERSISTENT
        if not is_persistent or link.is_planned_close or self._tasks is None:
            return
        if self._registry.find_persistent(link.node_id) is None:
            for callback in self._on_lost:
                callback(link.node_id)

    async def _tick(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            self._keeper.refresh(tasks)
            self._monitor.tick(tasks)
            # A node that has just started dials peers as soon as it knows
            # any.
            is_linked = bool(self._registry.links())
            await self._clock.sleep_s(
                link_monitor.TICK_S if is_linked else UNLINKED_TICK_S
            )
