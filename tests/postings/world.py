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
        runs: How often the target started a posting.
        latency_s: Time that a posting takes.
        error: What the target raises; `TargetShedError` before the start.
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
        """Runs one posting."""
        if isinstance(self.error, exceptions.TargetShedError):
            raise self.error
        self.runs += 1
        await anyio.sleep(self.latency_s)
        if self.error:
            raise self.error
        return node.answer(f"run {self.runs}")

    async def send(self, where: node.Node, key: str, **changes):
        """Sends a posting to a node."""
        return await where.call(node.request(key, **changes), self.target)
