"""Nodes with the real configuration path on fake links and platform."""

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


FOUR = {"x": ("x1", "x2", "x3", "x4")}


class History:
    """What one node id ran, over all of its lives."""

    def __init__(self, node_id: str):
        self.node_id = node_id
        self.seq = 0
        self.entries: collections.abc.Mapping[str, entry.Entry] = {}

    def note(self, state: log_state.LogState) -> None:
        """Compares a step with all that the node id ran before."""
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
    """One life of one node."""

    def __init__(self, cluster: "Cluster", node_id: str):
        self.node_id = node_id
        self.events = event_list.EventList(node_id)
        self.state = cluster.state_of(node_id)
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
        """Returns an acceptor that offers to this node."""
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
        polling = reader.PlatformReader(
            log=log,
            propagation=self.propagation,
            is_reader=is_reader,
            events=self.events,
            **self._options,
        )
        with self._scope:
            async with anyio.create_task_group() as tasks:
                for job in (rebuild, polling, self.propagation):
                    tasks.start_soon(job.run)
                tasks.start_soon(self._beat)

    def crash(self) -> None:
        """Ends this life at once."""
        self._scope.cancel()

    def _live(self) -> frozenset[str]:
        return self._cluster.live(self.node_id)

    def _is_reader(self) -> bool:
        return self.node_id in sorted(self._live())[:READERS]

    def _on_running(self, entries: tuple[entry.Entry, ...]) -> None:
        del entries
        self._cluster.history(self.node_id).note(self.state)
        self._cluster.on_step(self.node_id)

    async def _on_heartbeat(
        self, sender: str, message: heartbeat.Heartbeat
    ) -> None:
        self.propagation.on_heartbeat(sender, message.held_seq)

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(HEARTBEAT_S)
            await self.peers.broadcast(
                heartbeat.Heartbeat(self.propagation.announced_seq, 0, 0)
            )


class Cluster:
    """Several data centres, a platform, and what happened to them.

    Args:
        tasks: Runs the nodes.
        rng: Source of all randomness.
        data_centres: Node ids by data centre.
        can_run: Gets a node id, an entry and the step; returns why that
            node cannot run it, or an empty string.
        on_step: Gets the node id after each atomic step.
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        *,
        rng: random.Random,
        data_centres: dict[str, tuple[str, ...]],
        can_run: collections.abc.Callable | None = None,
        on_step: collections.abc.Callable[[str], None] = lambda node_id: None,
    ):
        self.rng = rng
        self.data_centres = data_centres
        self.network = memory_network.MemoryNetwork(tasks, rng=rng)
        self.table = memory_table.MemoryTable()
        self.objects = memory_objects.MemoryObjects()
        self.nodes: dict[str, Node] = {}
        self._tasks = tasks
        self._can_run = can_run or (lambda node_id, item, step: "")
        self.on_step = on_step
        self._died_s: dict[str, float] = {}
        self._history: dict[str, History] = {}

    def start(self, node_id: str) -> None:
        """Starts a node, or restarts it."""
        for other in self.nodes.values():
            other.propagation.forget_peer(node_id)
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
        """Kills a node; all that it held is gone."""
        self.network.leave(node_id)
        self.nodes.pop(node_id).crash()
        self._died_s[node_id] = anyio.current_time()

    def set_platform(self, *, down: bool) -> None:
        """Switches both services."""
        self.table.down = down
        self.objects.down = down

    def members(self, node_id: str) -> tuple[str, ...]:
        """Returns the nodes of a node's data centre."""
        for members in self.data_centres.values():
            if node_id in members:
                return members
        raise KeyError(node_id)

    def live(self, node_id: str) -> frozenset[str]:
        """Returns the nodes of its data centre that count as live."""
        now_s = anyio.current_time()
        return frozenset(
            other
            for other in self.members(node_id)
            if other in self.nodes
            or now_s - self._died_s.get(other, -DETECTION_S) < DETECTION_S
        )

    def unsettled(self, node_id: str) -> list[str]:
        """Returns the nodes of its data centre that do not serve yet."""
        return [
            other
            for other in self.members(node_id)
            if other not in self.nodes
            or not self.nodes[other].propagation.is_settled
        ]

    def history(self, node_id: str) -> History:
        """Returns what a node id has run."""
        return self._history.setdefault(node_id, History(node_id))

    def state_of(self, node_id: str) -> log_state.LogState:
        """Returns an empty state for a new life."""

        def can_run(item: entry.Entry, step: typing.Any) -> str:
            return self._can_run(node_id, item, step)

        return log_state.LogState(node_id=node_id, can_run=can_run)


def run(
    main: collections.abc.Callable,
    *,
    data_centres: dict[str, tuple[str, ...]] = FOUR,
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
