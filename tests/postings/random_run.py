"""A seeded run of callers against failing nodes."""

import collections
import functools
import random

import anyio
import anyio.abc

from galenatack import exceptions
from galenatack.model import call_result
from galenatack.postings import posting_registry
from tests.fakes import memory_network
from tests.fakes import memory_table
from tests.fakes import slow_table
from tests.fakes import virtual_clock
from tests.fakes import virtual_run
from tests.postings import node

NODE_IDS = ("n1", "n2", "n3", "n4")
KEYS = 60
MAX_REPEATS = 6
CALLERS_START_S = 60.0
FAULTS_END_S = 90.0
# Share of restarts that hit all nodes. The first node restarts only then, so
# its tickets can reach their expiry.
MASS_RESTART_SHARE = 0.03
MAX_SKEW_MS = 20_000
# Fewer records than keys, so the registry is sometimes full.
SMALL_REGISTRY = 8
# The longest pause exceeds the ticket lifetime and the record retention.
PAUSES_S = (0.0, 0.05, 1.0, 1.0, 1.0, 300.0, 700.0)


class RandomRun:
    """Callers repeat postings while nodes and the table fail.

    Attributes:
        runs: Call ids of the starts at a target, by key.
        outcomes: Number of results by (outcome, failure).
        violations: Violations of the contract.
        restarts: Number of node restarts.
    """

    def __init__(self, seed: int):
        self._rng = random.Random(seed)
        self._seed = seed
        self.runs: dict[str, list[str]] = collections.defaultdict(list)
        self.outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.violations: list[str] = []
        self.restarts = 0
        self._incarnations = 0

    def execute(self) -> None:
        """Runs all callers to completion."""
        virtual_run.run(self._main, seed=self._seed)
        for key, starts in self.runs.items():
            if len(starts) > 1:
                self.violations.append(
                    f"{key} ran {len(starts)} times: {starts}"
                )

    async def _main(self) -> None:
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._inner = memory_table.MemoryTable()
            self._table = slow_table.SlowTable(
                self._inner,
                tasks,
                rng=self._rng,
                delay_s=(0.001, 0.2),
                lost_share=0.1,
            )
            self._network = memory_network.MemoryNetwork(tasks, rng=self._rng)
            self._nodes = {n: self._start(n) for n in NODE_IDS}
            tasks.start_soon(self._fail_table)
            tasks.start_soon(self._fail_nodes)
            async with anyio.create_task_group() as callers:
                for number in range(KEYS):
                    callers.start_soon(self._caller, number)
            tasks.cancel_scope.cancel()

    def _start(self, node_id: str) -> node.Node:
        skew_ms = self._rng.randint(-MAX_SKEW_MS, MAX_SKEW_MS)
        clock = virtual_clock.VirtualClock(skew_ms=skew_ms)
        max_records = SMALL_REGISTRY if node_id == NODE_IDS[0] else 1000
        self._incarnations += 1
        started = node.Node(
            node_id,
            self._incarnations,
            clock=clock,
            table=self._table,
            peers=self._network.join(node_id),
            rng=self._rng,
            registry=posting_registry.PostingRegistry(
                clock=clock, max_records=max_records
            ),
        )
        self._tasks.start_soon(started.run)
        return started

    async def _fail_table(self) -> None:
        while anyio.current_time() < FAULTS_END_S:
            await anyio.sleep(self._rng.expovariate(0.5))
            self._inner.down = True
            await anyio.sleep(self._rng.uniform(0.005, 1.5))
            self._inner.down = False

    async def _fail_nodes(self) -> None:
        while anyio.current_time() < FAULTS_END_S:
            await anyio.sleep(self._rng.expovariate(0.7))
            is_mass_restart = self._rng.random() < MASS_RESTART_SHARE
            single_id = self._rng.choice(NODE_IDS[1:])
            killed_ids = NODE_IDS if is_mass_restart else (single_id,)
            for node_id in killed_ids:
                self._nodes[node_id].kill()
                self._network.leave(node_id)
            await anyio.sleep(self._rng.uniform(0.05, 1.0))
            for node_id in killed_ids:
                self._nodes[node_id] = self._start(node_id)
                self.restarts += 1

    async def _caller(self, number: int) -> None:
        await anyio.sleep(self._rng.uniform(0, CALLERS_START_S))
        key = f"plain-{number}"
        if number % 3 == 0:
            issuer = self._nodes[self._rng.choice(NODE_IDS)]
            key = issuer.tickets.issue(issuer.node_id, issuer.incarnation)
        is_certainly_not_run = True
        for repeat in range(MAX_REPEATS):
            call_id = f"{number}/{repeat}"
            result = await self._attempt(key, call_id)
            if result is None or result.outcome != "not-run":
                is_certainly_not_run = False
            elif is_certainly_not_run and self.runs[key]:
                self.violations.append(f"{key}: {result.failure} after a run")
            await anyio.sleep(self._rng.choice(PAUSES_S))

    async def _attempt(
        self, key: str, call_id: str
    ) -> call_result.CallResult | None:
        """Sends the posting once; the caller may leave before its result."""
        target = self._nodes[self._choose_node(key)]
        request = node.request(key, call_id=call_id)
        dispatch = functools.partial(self._target, key, call_id)
        send = functools.partial(target.call, request, dispatch)
        if self._rng.random() < 0.2:
            self._tasks.start_soon(self._check_result, key, call_id, send)
            return None
        with anyio.move_on_after(self._rng.uniform(0.01, 4.0)):
            return await self._check_result(key, call_id, send)
        return None

    def _choose_node(self, key: str) -> str:
        if key.startswith("gt1.") and self._rng.random() < 0.8:
            return key.split(".")[1]
        return self._rng.choice(NODE_IDS)

    async def _check_result(self, key, call_id, send):
        result = await send()
        if result is None:
            self.outcomes["none", ""] += 1
            return None
        self.outcomes[str(result.outcome), result.failure] += 1
        starts = self.runs[key]
        if result.outcome == "not-run" and call_id in starts:
            self.violations.append(f"{key}: not-run returned for its own run")
        if result.failure == "claim-released" and starts:
            self.violations.append(f"{key}: claim-released after a run")
        if result.outcome == "answer":
            expected = f"{key} by {starts[0]}" if starts else "no run"
            if result.body.decode() != expected:
                self.violations.append(f"{key}: {result.body!r} not {expected}")
        return result

    async def _target(self, key: str, call_id: str) -> call_result.CallResult:
        await anyio.sleep(self._rng.uniform(0, 0.05))
        if self._rng.random() < 0.1:
            raise exceptions.TargetShedError("shed")
        self.runs[key].append(call_id)
        await anyio.sleep(self._rng.choice([0.01, 0.1, 1.0, 3.0]))
        if self._rng.random() < 0.1:
            raise exceptions.TargetAnswerLostError("answer lost")
        return node.answer(f"{key} by {call_id}")
