"""In-process peer network of several nodes, with partitions and delays."""

import collections.abc
import random
import typing

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.interfaces import peer_network
from galenatack.links import handshake

SILENT_S = 2.0
"""Delay until a lost link is reported; the real links have one too."""

HEARTBEAT_S = 1.0


class MemoryNetwork:
    """Connects `MemoryPeers`; delays messages and drops them across cuts.

    Attributes:
        cuts: Pairs of node ids (both orders) that cannot reach each other.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        *,
        rng: random.Random,
        delay_s: tuple[float, float] = (0.001, 0.005),
    ):
        self._tasks = tasks
        self._rng = rng
        self._delay_s = delay_s
        self.cuts: set[tuple[str, str]] = set()
        self.peers: dict[str, MemoryPeers] = {}

    def join(self, node_id: str) -> "MemoryPeers":
        """Adds a node, or replaces it after a restart."""
        peers = MemoryPeers(self, node_id)
        self.peers[node_id] = peers
        return peers

    def leave(self, node_id: str) -> None:
        """Removes a node; messages in flight to and from it are lost."""
        self.peers.pop(node_id, None)
        for observer in self.peers:
            self._tasks.start_soon(self._report_lost, observer, node_id)

    def cut(self, left: str, right: str) -> None:
        """Partitions two nodes from each other."""
        self.cuts |= {(left, right), (right, left)}
        self._tasks.start_soon(self._report_lost, left, right)
        self._tasks.start_soon(self._report_lost, right, left)

    def join_up(self, left: str, right: str) -> None:
        """Removes the cut between two nodes."""
        self.cuts -= {(left, right), (right, left)}

    def heal(self) -> None:
        """Removes all cuts."""
        self.cuts.clear()

    def reachable(self, sender: str, receiver: str) -> bool:
        """Returns whether a message from sender to receiver would arrive."""
        return receiver in self.peers and (sender, receiver) not in self.cuts

    def spawn(self, sender: str, receiver: str, message: typing.Any) -> None:
        """Delivers a message asynchronously, in its own task."""
        sender_peers = self.peers.get(sender)
        self._tasks.start_soon(
            self._deliver, sender, sender_peers, receiver, message
        )

    async def _report_lost(self, observer: str, node_id: str) -> None:
        await anyio.sleep(SILENT_S)
        watcher = self.peers.get(observer)
        if watcher is not None and not self.reachable(observer, node_id):
            watcher.report_lost(node_id)

    async def _deliver(
        self,
        sender: str,
        sender_peers: "MemoryPeers | None",
        receiver: str,
        message: typing.Any,
    ) -> typing.Any:
        await anyio.sleep(self._rng.uniform(*self._delay_s))
        if sender_peers is None or self.peers.get(sender) is not sender_peers:
            return None
        if not self.reachable(sender, receiver):
            return None
        return await self.peers[receiver].dispatch(sender, message)

    async def ask(
        self, sender: str, receiver: str, message: typing.Any, timeout_s: float
    ) -> typing.Any:
        """Delivers a request and returns the reply, or times out."""
        with anyio.move_on_after(timeout_s):
            sender_peers = self.peers.get(sender)
            reply = await self._deliver(sender, sender_peers, receiver, message)
            await anyio.sleep(self._rng.uniform(*self._delay_s))
            if reply is not None and self.reachable(receiver, sender):
                return reply
        raise exceptions.PeerTimeoutError(f"no reply from {receiver}")


class MemoryPeers:
    """Implements `interfaces.peer_network.PeerNetwork` for one node."""

    def __init__(self, network: MemoryNetwork, node_id: str):
        self._network = network
        self.node_id = node_id
        self._handlers: dict[type, peer_network.Handler] = {}
        self._on_lost: list[collections.abc.Callable[[str], None]] = []

    def on(self, message_type: type, handler: peer_network.Handler) -> None:
        """Registers the handler of a message type."""
        self._handlers[message_type] = handler

    def on_lost(self, callback: collections.abc.Callable[[str], None]) -> None:
        """Registers a callback for nodes that have become unreachable."""
        self._on_lost.append(callback)

    def report_lost(self, node_id: str) -> None:
        """Reports a lost link."""
        for callback in self._on_lost:
            callback(node_id)

    async def send_heartbeats(
        self, source: collections.abc.Callable[[], typing.Any]
    ) -> None:
        """Broadcasts a heartbeat each second until cancelled."""
        while self._network.peers.get(self.node_id) is self:
            await self.broadcast(source())
            await anyio.sleep(HEARTBEAT_S)

    async def dispatch(self, sender: str, message: typing.Any) -> typing.Any:
        """Passes a message to its handler."""
        handler = self._handlers.get(type(message))
        return await handler(sender, message) if handler else None

    async def broadcast(
        self, message: typing.Any, *, exclude: str | None = None
    ) -> None:
        """Sends to all reachable nodes except `exclude`."""
        for node_id in sorted(self.neighbours()):
            if node_id != exclude:
                self._network.spawn(self.node_id, node_id, message)

    async def send(self, node_id: str, message: typing.Any) -> None:
        """Sends to one node."""
        self._require(node_id)
        self._network.spawn(self.node_id, node_id, message)

    async def request(
        self, node_id: str, message: typing.Any, *, timeout_s: float
    ) -> typing.Any:
        """Sends to one node and returns its reply."""
        self._require(node_id)
        return await self._network.ask(
            self.node_id, node_id, message, timeout_s
        )

    def protocol(self, node_id: str) -> int:
        """Returns the protocol of this release."""
        del node_id
        return handshake.PROTOCOL

    def neighbours(self) -> frozenset[str]:
        """Returns all reachable nodes."""
        return frozenset(
            node_id
            for node_id in self._network.peers
            if node_id != self.node_id
            and self._network.reachable(self.node_id, node_id)
        )

    def _require(self, node_id: str) -> None:
        if not self._network.reachable(self.node_id, node_id):
            raise exceptions.PeerUnreachableError(f"cannot reach {node_id}")
