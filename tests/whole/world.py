"""Nodes in three data centres, a platform and the history of all lives."""

import collections
import random
import typing

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.config import entry_codec
from galenatack.config import row_keys
from galenatack.invariants import verdict_once
from galenatack.model import move_state
from tests.config import cluster
from tests.fakes import memory_network
from tests.fakes import memory_objects
from tests.fakes import memory_table
from tests.fakes import slow_table
from tests.whole import ledger as ledger_module
from tests.whole import platform_path
from tests.whole import whole_node

DATA_CENTRES = {
    "a1": ("a1-0", "a1-1"),
    "a2": ("a2-0", "a2-1"),
    "b1": ("b1-0", "b1-1"),
}
NODE_IDS = tuple(n for members in DATA_CENTRES.values() for n in members)
OLD_VERSION = "v1"
NEW_VERSION = "v2"


class World:
    """What the nodes of a run share.

    Attributes:
        nodes: The present life of each node that is up.
        ledger: What targets and callers saw.
        fault_shares: Share of failing calls by version.
        platform_cuts: Data centres without a way to the platform.
        trace: (virtual time, life, kind, facts) of each event.
        faults: Faults injected, by kind.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, *, seed: int):
        self.seed = seed
        self.rng = random.Random(seed)
        self.network = memory_network.MemoryNetwork(tasks, rng=self.rng)
        self.objects = memory_objects.MemoryObjects()
        self.inner_table = memory_table.MemoryTable()
        self.table = slow_table.SlowTable(
            self.inner_table, tasks, rng=self.rng, lost_share=0.03
        )
        self.ledger = ledger_module.Ledger()
        self.nodes: dict[str, whole_node.WholeNode] = {}
        self.fault_shares: dict[str, float] = {}
        self.platform_cuts: set[str] = set()
        self.trace: list[tuple[float, str, str, str]] = []
        self.faults: collections.Counter[str] = collections.Counter()
        self._tasks = tasks
        self._histories: dict[str, cluster.History] = {}
        self._verdicts: dict[str, move_state.MoveState] = {}
        self._verdicts_of: dict[str, dict[str, move_state.MoveState]] = {}

    def start(self, node_id: str) -> whole_node.WholeNode:
        """Starts a node, or restarts it."""
        version = OLD_VERSION if node_id.endswith("0") else NEW_VERSION
        node = whole_node.WholeNode(self, node_id, version)
        self.nodes[node_id] = node
        self._tasks.start_soon(node.run)
        return node

    def crash(self, node_id: str) -> None:
        """Kills a node."""
        self.nodes.pop(node_id).crash()

    def set_platform(self, *, down: bool) -> None:
        """Switches both services."""
        self.inner_table.down = down
        self.objects.down = down

    def cut(self, left: str, right: str) -> None:
        """Cuts two data centres off from each other."""
        for one in DATA_CENTRES[left]:
            for other in DATA_CENTRES[right]:
                self.network.cut(one, other)

    def heal(self) -> None:
        """Ends all faults but crashes."""
        self.network.heal()
        self.platform_cuts.clear()
        self.set_platform(down=False)

    def table_of(self, node_id: str) -> platform_path.PlatformPath:
        """Returns the table as a node reaches it."""
        return self._path(self.table, node_id)

    def objects_of(self, node_id: str) -> platform_path.PlatformPath:
        """Returns the object store as a node reaches it."""
        return self._path(self.objects, node_id)

    async def close(self) -> None:
        """Stands for closing a connection to the platform."""

    def note_event(
        self, node: whole_node.WholeNode, kind: str, facts: dict
    ) -> None:
        """Keeps an event and checks what came into force."""
        if not node.is_up:
            return
        now_s = round(anyio.current_time(), 6)
        self.trace.append((now_s, node.life, kind, str(facts)))
        if kind == "change-running":
            self._note_running(node)

    def _note_running(self, node: whole_node.WholeNode) -> None:
        state = node.parts.state
        history = self._histories.setdefault(
            node.node_id, cluster.History(node.node_id)
        )
        history.record(state)
        item = state.running().get(row_keys.MOVE + whole_node.SERVICE)
        if item is None:
            return
        move = entry_codec.parse_move(item.body)
        # A node that is cut off may still run the move while others have its
        # verdict. No node goes back behind a verdict, and all verdicts agree.
        own = self._verdicts_of.setdefault(node.node_id, {})
        verdict_once.check(own.get(move.move_id), move)
        if move.phase != "running":
            verdict_once.check(self._verdicts.get(move.move_id), move)
            self._verdicts.setdefault(move.move_id, move)
            own.setdefault(move.move_id, move)

    def verdicts(self) -> collections.Counter[str]:
        """Returns how many moves ended with each verdict."""
        return collections.Counter(
            move.phase for move in self._verdicts.values()
        )

    async def check_converged(self, due: dict[str, typing.Any]) -> None:
        """Checks that all nodes run at least the entries `due`, by key."""
        for node_id in NODE_IDS:
            running = self.nodes[node_id].parts.state.running()
            for key, item in due.items():
                found = running.get(key)
                if found is None or found.version < item.version:
                    raise exceptions.InvariantViolationError(
                        "10: a node is behind after the bound",
                        node_id=node_id,
                        key=key,
                        version=item.version,
                        running=found and found.version,
                    )

    def _path(self, inner, node_id: str) -> platform_path.PlatformPath:
        return platform_path.PlatformPath(
            inner, is_cut=lambda: node_id[:2] in self.platform_cuts
        )
