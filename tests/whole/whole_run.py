"""A seeded run of complete nodes under faults of all kinds."""

import contextlib

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.invariants import convergence
from tests.fakes import sample_profile
from tests.fakes import virtual_run
from tests.whole import callers as callers_module
from tests.whole import whole_node
from tests.whole import world as world_module

ROUNDS = 2
# Long enough for a move and its verdict.
ROUND_S = 60.0
MOVE_S = 45.0
SETTLE_S = 60.0
# Calls in flight at the end of a round complete within this time.
CALLS_END_S = 8.0
PROFILE = "normal"


class WholeRun:
    """One seeded run.

    Attributes:
        world: Nodes, ledger and trace.
    """

    def __init__(
        self, seed: int, *, rounds: int = ROUNDS, round_s: float = ROUND_S
    ):
        self._seed = seed
        self._rounds = rounds
        self._round_s = round_s
        self.world: world_module.World

    def execute(self) -> None:
        """Runs all rounds.

        Raises:
            exceptions.InvariantViolationError: An invariant does not hold.
        """
        try:
            virtual_run.run(self._main, seed=self._seed)
        except BaseException as error:
            error.add_note(f"seed {self._seed}")
            raise
        if self.world.ledger.wrong:
            raise exceptions.InvariantViolationError(
                "\n".join(self.world.ledger.wrong), seed=self._seed
            )

    async def _main(self) -> None:
        async with anyio.create_task_group() as tasks:
            await self.begin(tasks)
            for _ in range(self._rounds):
                await self._round()
            await anyio.sleep(CALLS_END_S)
            self.world.ledger.note_end()
            tasks.cancel_scope.cancel()

    async def begin(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts all nodes and puts a profile and a choice into force."""
        self._tasks = tasks
        self.world = world_module.World(tasks, seed=self._seed)
        self._rng = self.world.rng
        await self._settle()
        await self._choose_profile()

    async def _settle(self) -> None:
        """Starts all nodes that are down and waits until all serve."""
        for node_id in world_module.NODE_IDS:
            if node_id not in self.world.nodes:
                self.world.start(node_id)
        with anyio.fail_after(SETTLE_S):
            while not all(self._serves(n) for n in world_module.NODE_IDS):
                await anyio.sleep(0.1)

    def _serves(self, node_id: str) -> bool:
        node = self.world.nodes.get(node_id)
        return node is not None and node.parts.members.own.status == "serving"

    async def _choose_profile(self) -> None:
        await self._retry(self._publish)
        node = self._any_node()
        await self._retry(
            lambda: node.parts.acceptor.choose(
                whole_node.SERVICE,
                profile=PROFILE,
                version=world_module.OLD_VERSION,
            )
        )
        await anyio.sleep(convergence.CONVERGENCE_BOUND_S)

    async def _round(self) -> None:
        callers = callers_module.Callers(self.world, self._tasks)
        jobs = [
            callers.read,
            callers.post,
            self._moves,
            self._concurrent_publishes,
        ]
        jobs += [self._crashes, self._stops, self._cuts, self._outages]
        with anyio.move_on_after(self._round_s):
            async with anyio.create_task_group() as tasks:
                for job in jobs:
                    tasks.start_soon(job)
        self.world.heal()
        await self._settle()
        await self._retry(self._publish)
        expected = {
            entry.key: entry
            for entry in await self._retry(
                lambda: self._any_node().parts.acceptor.list_entries("")
            )
        }
        await anyio.sleep(convergence.CONVERGENCE_BOUND_S)
        await self._settle()
        await self.world.check_converged(expected)

    async def _retry(self, operation):
        """Repeats an operation until the platform answers."""
        while True:
            with contextlib.suppress(
                exceptions.PlatformError, exceptions.VersionConflictError
            ):
                return await operation()
            await anyio.sleep(0.2)

    def _any_node(self) -> whole_node.WholeNode:
        return self.world.nodes[self._rng.choice(sorted(self.world.nodes))]

    async def _publish(self):
        fields = sample_profile.fields(
            PROFILE,
            service=whole_node.SERVICE,
            timeout_ms=self._rng.choice([900, 1000, 1100]),
        )
        fields["move_policy"] = {
            "on_low_traffic": self._rng.choice(["done", "take_back"])
        }
        return await self._any_node().parts.acceptor.publish(
            sample_profile.encode(fields), expect=None
        )

    async def _concurrent_publishes(self) -> None:
        """Publishes through two nodes concurrently."""
        while True:
            await anyio.sleep(self._rng.uniform(1.0, 8.0))
            self.world.faults["crossing publishes"] += 1
            async with anyio.create_task_group() as tasks:
                for _ in range(2):
                    tasks.start_soon(self._attempt, self._publish)

    async def _attempt(self, operation) -> None:
        with contextlib.suppress(
            exceptions.PlatformError,
            exceptions.VersionConflictError,
            exceptions.MoveError,
            exceptions.NotFoundError,
        ):
            await operation()

    async def _moves(self) -> None:
        """Starts a move to a good or a bad version; may cancel a good one."""
        await anyio.sleep(self._rng.uniform(0.0, 4.0))
        current = await self._retry(self._current_version)
        other = {
            world_module.OLD_VERSION: world_module.NEW_VERSION,
            world_module.NEW_VERSION: world_module.OLD_VERSION,
        }[current]
        is_bad = self._rng.random() < 0.5
        onset_s = self._rng.choice([0.0, self._rng.uniform(0.0, MOVE_S)])
        self.world.fault_shares = {}
        self.world.faults["bad version" if is_bad else "good version"] += 1
        node = self._any_node()
        by_ms = node.parts.clock.wall_ms() + int(MOVE_S * 1000)
        await self._attempt(
            lambda: node.parts.moves.start(
                whole_node.SERVICE, to_version=other, by_ms=by_ms
            )
        )
        await anyio.sleep(onset_s if is_bad else MOVE_S / 2)
        if is_bad:
            self.world.fault_shares = {other: self._rng.choice([0.3, 0.8])}
        elif self._rng.random() < 0.2:
            self.world.faults["cancel"] += 1
            await self._attempt(
                lambda: self._any_node().parts.moves.cancel(whole_node.SERVICE)
            )

    async def _current_version(self) -> str:
        moves = self._any_node().parts.moves
        choice, _ = await moves._read_choice(whole_node.SERVICE)
        return choice.version

    async def _crashes(self) -> None:
        while True:
            await anyio.sleep(self._rng.uniform(1.0, 12.0))
            node_id = self._choose_node()
            if node_id is None:
                continue
            self.world.faults["crash"] += 1
            self.world.crash(node_id)
            await anyio.sleep(self._rng.uniform(0.2, 7.0))
            self.world.start(node_id)

    async def _stops(self) -> None:
        while True:
            await anyio.sleep(self._rng.uniform(2.0, 20.0))
            node_id = self._choose_node()
            if node_id is None:
                continue
            self.world.faults["planned stop"] += 1
            node = self.world.nodes[node_id]
            with anyio.CancelScope(shield=True):
                await node.stop()
            self.world.nodes.pop(node_id, None)
            await anyio.sleep(self._rng.uniform(0.1, 3.0))
            self.world.start(node_id)

    def _choose_node(self) -> str | None:
        """Returns a node of a data centre in which all nodes serve, if any."""
        ready = [
            node_id
            for members in world_module.DATA_CENTRES.values()
            for node_id in members
            if all(self._serves(member) for member in members)
        ]
        return self._rng.choice(ready) if ready else None

    async def _cuts(self) -> None:
        names = sorted(world_module.DATA_CENTRES)
        while True:
            await anyio.sleep(self._rng.uniform(2.0, 10.0))
            isolated = self._rng.choice(names)
            self.world.faults["cut"] += 1
            for other in names:
                if other != isolated:
                    self.world.cut(isolated, other)
            if self._rng.random() < 0.5:
                self.world.faults["cut from platform"] += 1
                self.world.platform_cuts.add(isolated)
            await anyio.sleep(self._rng.uniform(0.5, 8.0))
            self.world.network.heal()
            self.world.platform_cuts.clear()

    async def _outages(self) -> None:
        while True:
            await anyio.sleep(self._rng.uniform(3.0, 15.0))
            self.world.faults["platform outage"] += 1
            self.world.set_platform(down=True)
            await anyio.sleep(self._rng.uniform(0.1, 6.0))
            self.world.set_platform(down=False)
