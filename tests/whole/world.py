"""Nodes in three data centres, a platform and the history of a run."""

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
    """Shared state of the nodes of a run.

    Attributes:
        nodes: Current incarnation of each node that is up.
        ledger: Record of what targets ran and callers received.
        fault_shares: Fraction of failing calls by version.
        platform_cuts: Data centres that cannot reach the platform.
        trace: (virtual time, incarnation id, kind, facts) of each event.
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
        self._verdicts_by_node: dict[str, dict[str, move_state.MoveState]] = {}

    def start(self, node_id: str) -> whole_node.WholeNode:
        """Starts a node, or restarts it."""
        version = OLD_VERSION if node_id.endswith("0") else NEW_VERSION
        node = whole_node.WholeNode(self, node_id, version)
        self.nodes[node_id] = node
        self._tasks.start_soon(node.run)
        return node

    def crash(self, node_id: str) -> None:
        """Crashes a node."""
        self.nodes.pop(node_id).crash()

    def set_platform(self, *, down: bool) -> None:
        """Takes the table and the object store down or up."""
        self.inner_table.down = down
        self.objects.down = down

    def cut(self, left: str, right: str) -> None:
        """Partitions two data centres from each other."""
        for one in DATA_CENTRES[left]:
            for other in DATA_CENTRES[right]:
                self.network.cut(one, other)

    def heal(self) -> None:
        """Ends all faults except crashes."""
        self.network.heal()
        self.platform_cuts.clear()
        self.set_platform(down=False)

    def table_of(self, node_id: str) -> platform_path.PlatformPath:
        """Returns the table behind the network path of a node."""
        return self._path(self.table, node_id)

    def objects_of(self, node_id: str) -> platform_path.PlatformPath:
        """Returns the object store behind the network path of a node."""
        return self._path(self.objects, node_id)

    async def close(self) -> None:
        """Does nothing; closes the platform connection in production."""

    def note_event(
        self, node: whole_node.WholeNode, kind: str, facts: dict
    ) -> None:
        """Records an event and checks entries that came into force."""
        if not node.is_up:
            return
        now_s = round(anyio.current_time(), 6)
        self.trace.append((now_s, node.incarnation_id, kind, str(facts)))
        if kind == "change-running":
            self._note_running(node)

    def _note_running(self, node: whole_node.WholeNode) -> None:
        state = node.parts.state
        history = self._histories.setdefault(
            node.node_id, cluster.History(node.node_id)
        )
        history.record(state)
        entry = state.running().get(row_keys.MOVE + whole_node.SERVICE)
        if entry is None:
            return
        move = entry_codec.parse_move(entry.body)
        # A partitioned node may still run the move while others have its
        # verdict. No node may run a move whose verdict it has seen, and all
        # verdicts must agree.
        own_verdicts = self._verdicts_by_node.setdefault(node.node_id, {})
        verdict_once.check(own_verdicts.get(move.move_id), move)
        if move.phase != "running":
            verdict_once.check(self._verdicts.get(move.move_id), move)
            self._verdicts.setdefault(move.move_id, move)
            own_verdicts.setdefault(move.move_id, move)

    def verdicts(self) -> collections.Counter[str]:
        """Returns the number of moves by verdict."""
        return collections.Counter(
            move.phase for move in self._verdicts.values()
        )

    async def check_converged(self, expected: dict[str, typing.Any]) -> None:
        """Checks that all nodes run the `expected` entries or newer ones."""
        for node_id in NODE_IDS:
            running = self.nodes[node_id].parts.state.running()
            for key, entry in expected.items():
                current = running.get(key)
                if current is None or current.version < entry.version:
                    raise exceptions.InvariantViolationError(
                        "10: a node is behind after the bound",
                        node_id=node_id,
                        key=key,
                        version=entry.version,
                        running=current and current.version,
                    )

    def _path(self, inner, node_id: str) -> platform_path.PlatformPath:
        return platform_path.PlatformPath(
            inner, is_cut=lambda: node_id[:2] in self.platform_cuts
        )
