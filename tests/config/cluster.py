"""Nodes that run the real configuration code on fake links and platform."""

import collections.abc
import random
import typing

import anyio
import anyio.abc

from galenatack.config import acceptor
from galenatack.config import log_state
from galenatack.config import platform_log
from galenatack.config import propagation
from galenatack.config import reader
from galenatack.config import state_rebuild
from galenatack.invariants import version_order
from galenatack.messages import heartbeat
from galenatack.model import entry
from tests.fakes import event_list
from tests.fakes import memory_network
from tests.fakes import memory_objects
from tests.fakes import memory_table
from tests.fakes import virtual_clock
from tests.fakes import virtual_run

HEARTBEAT_S = 1.0
# How long a dead node still counts as live.
DETECTION_S = 1.0
READERS = 2
FALLBACK_WINDOW_S = 5.0


FOUR_NODES = {"x": ("x1", "x2", "x3", "x4")}


class History:
    """Entries that one node id ran, across its restarts."""

    def __init__(self, node_id: str):
        self.node_id = node_id
        self.seq = 0
        self.entries: collections.abc.Mapping[str, entry.Entry] = {}

    def record(self, state: log_state.LogState) -> None:
        """Checks a step against everything that the node id ran before."""
        version_order.check(
            node_id=self.node_id,
            old_seq=self.seq,
            new_seq=state.running_seq,
            old=self.entries,
            new={**self.entries, **state.running()},
        )
        self.seq = state.running_seq
        self.entries = {**self.entries, **state.running()}


class Node:
    """One process of a node, from a start to a crash."""

    def __init__(self, cluster: "Cluster", node_id: str):
        self.node_id = node_id
        self.events = event_list.EventList(node_id)
        self.state = cluster.new_state(node_id)
        self.peers = cluster.network.join(node_id)
        self._cluster = cluster
        self._scope = anyio.CancelScope()
        self._options: dict[str, typing.Any] = {
            "clock": virtual_clock.VirtualClock(),
            "rng": cluster.rng,
        }
        self.propagation = propagation.Propagation(
            node_id=node_id,
            state=self.state,
            peers=self.peers,
            events=self.events,
            live=self._live,
            on_running=self._on_running,
            **self._options,
        )
        self.peers.on(heartbeat.Heartbeat, self._on_heartbeat)

    def acceptor(self) -> acceptor.Acceptor:
        """Returns an acceptor that passes its deltas to this node."""
        return acceptor.Acceptor(
            table=self._cluster.table,
            objects=self._cluster.objects,
            events=self.events,
            accept_delta=self.propagation.accept_delta,
            **self._options,
        )

    async def run(self) -> None:
        """Runs until `crash`."""
        log = platform_log.PlatformLog(
            table=self._cluster.table,
            objects=self._cluster.objects,
            state=self.state,
        )
        is_reader = self._is_reader
        rebuild = state_rebuild.StateRebuild(
            node_id=self.node_id,
            propagation=self.propagation,
            log=log,
            peers=self.peers,
            live=self._live,
            is_reader=is_reader,
            fallback_window_s=FALLBACK_WINDOW_S,
            **self._options,
        )
        platform_reader = reader.PlatformReader(
            log=log,
            propagation=self.propagation,
            is_reader=is_reader,
            events=self.events,
            **self._options,
        )
        with self._scope:
            async with anyio.create_task_group() as tasks:
                for job in (rebuild, platform_reader, self.propagation):
                    tasks.start_soon(job.run)
                tasks.start_soon(self._send_heartbeats)

    def crash(self) -> None:
        """Stops the node at once."""
        self._scope.cancel()

    def _live(self) -> frozenset[str]:
        return self._cluster.live(self.node_id)

    def _is_reader(self) -> bool:
        return self.node_id in sorted(self._live())[:READERS]

    def _on_running(self, entries: tuple[entry.Entry, ...]) -> None:
        del entries
        self._cluster.history(self.node_id).record(self.state)
        self._cluster.on_step(self.node_id)

    async def _on_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat
    ) -> None:
        self.propagation.on_heartbeat(sender, message.held_seq)

    async def _send_heartbeats(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_S)
            await self.peers.broadcast(
                heartbeat.Heartbeat(self.propagation.announced_seq, 0, 0)
            )


class Cluster:
    """Several data centres with their nodes, and a platform.

    Args:
        tasks: Runs the nodes.
        rng: Source of all randomness.
        data_centres: Node ids by data centre.
        rejection_reason: Called with a node id, an entry and the entries that
            would run; returns why that node cannot run the entry, or an empty
            string.
        on_step: Called with the node id after each atomic step.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        *,
        rng: random.Random,
        data_centres: dict[str, tuple[str, ...]],
        rejection_reason: collections.abc.Callable | None = None,
        on_step: collections.abc.Callable[[str], None] = lambda node_id: None,
    ):
        self.rng = rng
        self.data_centres = data_centres
        self.network = memory_network.MemoryNetwork(tasks, rng=rng)
        self.table = memory_table.MemoryTable()
        self.objects = memory_objects.MemoryObjects()
        self.nodes: dict[str, Node] = {}
        self._tasks = tasks
        self._rejection_reason = rejection_reason or (
            lambda node_id, item, candidate: ""
        )
        self.on_step = on_step
        self._died_s: dict[str, float] = {}
        self._history: dict[str, History] = {}

    def start(self, node_id: str) -> None:
        """Starts a node, or restarts it."""
        for other in self.nodes.values():
            other.propagation.remove_peer(node_id)
        self._died_s.pop(node_id, None)
        self.nodes[node_id] = Node(self, node_id)
        self._tasks.start_soon(self.nodes[node_id].run)

    def start_all(self) -> None:
        """Starts all nodes that are down."""
        for members in self.data_centres.values():
            for node_id in members:
                if node_id not in self.nodes:
                    self.start(node_id)

    def crash(self, node_id: str) -> None:
        """Kills a node, which loses its state."""
        self.network.leave(node_id)
        self.nodes.pop(node_id).crash()
        self._died_s[node_id] = anyio.current_time()

    def set_platform(self, *, down: bool) -> None:
        """Takes the table and the object store down or up."""
        self.table.down = down
        self.objects.down = down

    def members(self, node_id: str) -> tuple[str, ...]:
        """Returns all nodes of a node's data centre."""
        for members in self.data_centres.values():
            if node_id in members:
                return members
        raise KeyError(node_id)

    def live(self, node_id: str) -> frozenset[str]:
        """Returns the nodes of a node's data centre that count as live."""
        now_s = anyio.current_time()
        return frozenset(
            other
            for other in self.members(node_id)
            if other in self.nodes
            or now_s - self._died_s.get(other, -DETECTION_S) < DETECTION_S
        )

    def unsettled(self, node_id: str) -> list[str]:
        """Returns the nodes of a node's data centre that have not settled."""
        return [
            other
            for other in self.members(node_id)
            if other not in self.nodes
            or not self.nodes[other].propagation.is_settled
        ]

    def history(self, node_id: str) -> History:
        """Returns the history of a node id."""
        return self._history.setdefault(node_id, History(node_id))

    def new_state(self, node_id: str) -> log_state.LogState:
        """Returns an empty state for a node that starts."""

        def rejection_reason(item: entry.Entry, candidate: typing.Any) -> str:
            return self._rejection_reason(node_id, item, candidate)

        return log_state.LogState(
            node_id=node_id, rejection_reason=rejection_reason
        )


def run(
    main: collections.abc.Callable,
    *,
    data_centres: dict[str, tuple[str, ...]] = FOUR_NODES,
    seed: int = 1,
) -> None:
    """Runs `main(cluster)` on a cluster whose nodes are not started."""

    async def start() -> None:
        async with anyio.create_task_group() as tasks:
            await main(
                Cluster(
                    tasks,
                    rng=random.Random(seed),
                    data_centres=data_centres,
                )
            )
            tasks.cancel_scope.cancel()

    virtual_run.run(start, seed=seed)
