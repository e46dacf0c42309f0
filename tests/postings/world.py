"""Two nodes, a table and a target that counts its runs."""

import random

import anyio

from galenatack import exceptions
from tests.fakes import memory_network
from tests.fakes import memory_table
from tests.postings import node

INCARNATION = 100


class World:
    """Two nodes, a table and a target that counts its runs.

    Attributes:
        runs: Number of postings the target started.
        latency_s: Duration of a posting.
        error: Error that the target raises; `TargetShedError` is raised before
            the start, others after the posting has run.
    """

    def __init__(self, tasks):
        rng = random.Random(1)
        self.tasks = tasks
        self.table = memory_table.MemoryTable()
        self.network = memory_network.MemoryNetwork(tasks, rng=rng)
        self.rng = rng
        self.runs = 0
        self.latency_s = 0.01
        self.error: Exception | None = None
        self.a = self.start("a")
        self.b = self.start("b")

    def start(self, node_id: str, incarnation: int = INCARNATION, **options):
        """Starts a node."""
        started = node.Node(
            node_id,
            incarnation,
            table=self.table,
            peers=self.network.join(node_id),
            rng=self.rng,
            **options,
        )
        self.tasks.start_soon(started.run)
        return started

    async def target(self):
        """Runs one posting at the target."""
        if isinstance(self.error, exceptions.TargetShedError):
            raise self.error
        self.runs += 1
        await anyio.sleep(self.latency_s)
        if self.error:
            raise self.error
        return node.answer(f"run {self.runs}")

    async def send(self, target_node: node.Node, key: str, **changes):
        """Sends a posting to a node."""
        return await target_node.call(node.request(key, **changes), self.target)
