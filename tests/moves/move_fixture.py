"""Nodes, platform and traffic of a move, for tests in virtual time."""

import random

import anyio.abc

from galenatack.config import acceptor
from galenatack.config import effective_choice
from galenatack.messages import evidence
from galenatack.model import move_policy
from galenatack.model import move_state
from galenatack.model import route_evidence
from galenatack.moves import fault_detector
from galenatack.moves import latency_buckets
from galenatack.moves import lease
from galenatack.moves import move_driver
from galenatack.moves import move_service
from galenatack.moves import withdrawals
from tests.fakes import event_list
from tests.fakes import memory_network
from tests.fakes import memory_objects
from tests.fakes import memory_table
from tests.fakes import sample_profile
from tests.fakes import virtual_clock

SERVICE = "prices"
PROFILE = "prices-normal"
DURATION_S = 120.0
OLD_GATE = "old"
NEW_GATE = "new"


class Node:
    """Fault detector, withdrawals and driver of one node."""

    def __init__(self, world: "World", node_id: str, rank: int):
        self.events = event_list.EventList(node_id)
        self.clock = virtual_clock.VirtualClock()
        self.rank: int | None = rank
        self.withdrawals = withdrawals.Withdrawals(
            clock=self.clock,
            peers=world.network.join(node_id),
            events=self.events,
        )
        self.detector = fault_detector.FaultDetector(
            move=world.move,
            policy=world.policy,
            node_id=node_id,
            clock=self.clock,
            events=self.events,
            withdrawals=self.withdrawals,
        )
        self.driver = move_driver.MoveDriver(
            move=world.move,
            policy=world.policy,
            detector=self.detector,
            withdrawals=self.withdrawals,
            lease=lease.Lease(
                service=SERVICE,
                node_id=node_id,
                incarnation=1,
                table=world.table,
                clock=self.clock,
            ),
            writer=world.writer,
            clock=self.clock,
            events=self.events,
            rank=lambda: self.rank,
            target_count=lambda: 4,
        )


class World:
    """Platform, one old and one new gate, and the nodes that evaluate them.

    Attributes:
        rate: Calls on each version in each half second.
        faults: Faults of the new version: route to (share of failing calls,
            latency factor).
    """

    def __init__(
        self,
        tasks: anyio.abc.TaskGroup,
        *,
        policy: move_policy.MovePolicy | None = None,
    ):
        self.network = memory_network.MemoryNetwork(tasks, rng=random.Random(1))
        self.clock = virtual_clock.VirtualClock()
        self.policy = policy or move_policy.MovePolicy()
        self.table = memory_table.MemoryTable()
        self.writer = acceptor.Acceptor(
            table=self.table,
            objects=memory_objects.MemoryObjects(),
            clock=self.clock,
            rng=random.Random(4),
            events=event_list.EventList(),
        )
        self.service = move_service.MoveService(
            writer=self.writer, clock=self.clock, rng=random.Random(2)
        )
        self.rate = 60
        self.faults: dict[str, tuple[float, float]] = {}
        self.nodes: list[Node] = []
        self._tasks = tasks
        self._rng = random.Random(3)
        self._counts: dict[tuple[str, str], list] = {}
        self._number = 0

    async def start(self, *, nodes: int = 1) -> None:
        """Starts a move, its nodes and its traffic, but no drivers."""
        versions = ("v1", "v2", "v3")
        await self.writer.publish(
            sample_profile.body(PROFILE, versions=versions)
        )
        await self.writer.choose(SERVICE, profile=PROFILE, version="v1")
        self.move = await self.service.start(
            SERVICE,
            to_version="v2",
            by_ms=self.clock.wall_ms() + int(DURATION_S * 1000),
        )
        self.nodes = [Node(self, f"n{rank}", rank) for rank in range(nodes)]
        self._tasks.start_soon(self._traffic)
        for node in self.nodes:
            self._tasks.start_soon(node.detector.run)

    async def state(self) -> move_state.MoveState:
        """Returns the move's state in the table."""
        return await self.service.verdict(SERVICE)

    async def version(self) -> str:
        """Returns the effective version of the service."""
        choice, _ = await self.writer.read_entry(f"service/{SERVICE}")
        move, _ = await self.writer.read_entry(f"move/{SERVICE}")
        return effective_choice.effective_choice(choice, move).version

    async def until(self, at_s: float) -> None:
        """Waits until `at_s` seconds after the start of the move."""
        now_s = (self.clock.wall_ms() - self.move.started_ms) / 1000.0
        await self.clock.sleep_s(max(0.0, at_s - now_s))

    async def _traffic(self) -> None:
        while True:
            await self.clock.sleep_s(0.5)
            self._number += 1
            for route in ("lookup", "post"):
                self._add(OLD_GATE, route, 0.005, 1.0)
                share, factor = self.faults.get(route, (0.005, 1.0))
                self._add(NEW_GATE, route, share, factor)
            for gate, version in ((OLD_GATE, "v1"), (NEW_GATE, "v2")):
                report = self._report(gate, version)
                for node in self.nodes:
                    node.detector.add(report)

    def _add(self, gate: str, route: str, share: float, factor: float) -> None:
        counts = self._counts.setdefault((gate, route), [0, 0, {}])
        for _ in range(self.rate):
            latency_ms = 20.0 * factor * self._rng.lognormvariate(0.0, 0.4)
            index = latency_buckets.index_of(latency_ms)
            counts[0] += 1
            counts[1] += self._rng.random() < share
            counts[2][index] = counts[2].get(index, 0) + 1

    def _report(self, gate: str, version: str) -> evidence.Evidence:
        routes = tuple(
            route_evidence.RouteEvidence(
                route,
                version,
                counts[0],
                counts[1],
                counts[0],
                tuple(sorted(counts[2].items())),
            )
            for (counted_gate, route), counts in self._counts.items()
            if counted_gate == gate
        )
        return evidence.Evidence(
            self.move.move_id, gate, 1, self._number, "a", routes
        )
