"""Tests of the posting guard, rule by rule."""

import functools
import random
import unittest

import anyio

from galenatack import exceptions
from galenatack.postings import posting_registry
from tests.fakes import memory_network
from tests.fakes import memory_table
from tests.fakes import virtual_clock
from tests.fakes import virtual_run
from tests.postings import node

INCARNATION = 100


class _World:
    """Two nodes, a table and a target that counts its runs."""

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
        if isinstance(self.error, exceptions.TargetShedError):
            raise self.error
        self.runs += 1
        await anyio.sleep(self.latency_s)
        if self.error:
            raise self.error
        return node.answer(f"run {self.runs}")

    async def send(self, where: node.Node, key: str, **changes):
        return await where.call(node.request(key, **changes), self.target)


class TestPostingGuard(unittest.TestCase):
    def _run(self, scenario) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                await scenario(_World(tasks))
                tasks.cancel_scope.cancel()

        virtual_run.run(main, seed=1)

    def _told(self, result, outcome: str, failure: str) -> None:
        self.assertEqual((result.outcome, result.failure), (outcome, failure))
        if outcome == "not-run" and result.status == 503:
            self.assertGreater(result.retry_after_ms, 0)

    def test_repeats_share(self):
        """Repeats in flight and later get the one answer of the one run."""

        async def scenario(world) -> None:
            results = []

            async def send() -> None:
                results.append(await world.send(world.a, "k"))

            async with anyio.create_task_group() as callers:
                for _ in range(5):
                    callers.start_soon(send)
            results.append(await world.send(world.a, "k"))
            results.append(await world.send(world.b, "k"))
            self.assertEqual(results, [node.answer("run 1")] * 7)
            self.assertEqual(world.runs, 1)

        self._run(scenario)

    def test_other_request(self):
        """A key of another body or path is refused on every node."""

        async def scenario(world) -> None:
            await world.send(world.a, "k")
            for where in (world.a, world.b):
                for change in ({"body": b"other"}, {"path": "/other"}):
                    result = await world.send(where, "k", **change)
                    self._told(result, "not-run", "posting-key-reused")
                    self.assertEqual(result.status, 422)
            self.assertEqual(world.runs, 1)

        self._run(scenario)

    def test_keys(self):
        """A missing, long or malformed key never runs."""

        async def scenario(world) -> None:
            for key in ("", "k" * 257, "gt1.a.100.9.ab.cd"):
                result = await world.send(world.a, key)
                self.assertEqual(result.status, 400)
                self.assertEqual(result.outcome, "not-run")
            self.assertEqual(world.runs, 0)

        self._run(scenario)

    def test_ticket_needs_no_table(self):
        """A ticket runs once, also when the table is down."""

        async def scenario(world) -> None:
            world.table.down = True
            key = world.a.tickets.issue("a", INCARNATION)
            first = await world.send(world.a, key)
            self.assertEqual(await world.send(world.a, key), first)
            self.assertEqual(first, node.answer("run 1"))

        self._run(scenario)

    def test_ticket_refusals(self):
        """A ticket of another node or incarnation, or expired, is unknown."""

        async def scenario(world) -> None:
            key = world.a.tickets.issue("a", INCARNATION)
            self._told(
                await world.send(world.b, key), "unknown", "ticket-other-node"
            )
            old = world.a.tickets.issue("a", INCARNATION - 1)
            self._told(
                await world.send(world.a, old),
                "unknown",
                "ticket-other-incarnation",
            )
            world.a.guard.add_incarnation(INCARNATION - 1)
            self.assertEqual((await world.send(world.a, old)).outcome, "answer")
            await anyio.sleep(600)
            self._told(
                await world.send(world.a, key), "unknown", "ticket-expired"
            )
            self.assertEqual(world.runs, 1)

        self._run(scenario)

    def test_outage(self):
        """Without the table a plain key is refused at once."""

        async def scenario(world) -> None:
            world.table.down = True
            began_s = anyio.current_time()
            result = await world.send(world.a, "k")
            self._told(result, "not-run", "claim-not-made")
            self.assertLess(anyio.current_time() - began_s, 0.01)
            world.table.down = False
            result = await world.send(world.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_hanging_table(self):
        """A claim that is not confirmed within 1 s never runs."""

        async def scenario(world) -> None:
            async def hang(change):
                await anyio.sleep(30)

            commit, world.table.commit = world.table.commit, hang
            began_s = anyio.current_time()
            result = await world.send(world.a, "k")
            self._told(result, "not-run", "claim-not-made")
            self.assertLess(anyio.current_time() - began_s, 1.1)
            world.table.commit = commit
            await anyio.sleep(60)
            self.assertEqual(world.runs, 0)

        self._run(scenario)

    def test_not_started(self):
        """A posting that the target shed frees its key for a repeat."""

        async def scenario(world) -> None:
            world.error = exceptions.TargetShedError("busy")
            result = await world.send(world.a, "k")
            self._told(result, "not-run", "target-shed")
            world.error = None
            await anyio.sleep(0.1)
            result = await world.send(world.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_target_answer_lost(self):
        """After a lost answer the key is unknown and never runs again."""

        async def scenario(world) -> None:
            world.error = exceptions.TargetAnswerLostError("lost")
            result = await world.send(world.a, "k")
            self._told(result, "unknown", "target-answer-lost")
            world.error = None
            for where in (world.a, world.b):
                result = await world.send(where, "k")
                self._told(result, "unknown", "posting-may-have-run")
            self.assertEqual(world.runs, 1)

        self._run(scenario)

    def test_owner_dead(self):
        """A claim of a dead or restarted owner is unknown."""

        async def scenario(world) -> None:
            await world.send(world.a, "k")
            world.a.kill()
            world.network.leave("a")
            result = await world.send(world.b, "k")
            self._told(result, "unknown", "peer-unreachable")
            again = world.start("a", INCARNATION + 1)
            for where in (world.b, again):
                result = await world.send(where, "k")
                self._told(result, "unknown", "posting-may-have-run")
            self.assertEqual(world.runs, 1)

        self._run(scenario)

    def test_asked_before_dispatch(self):
        """Once the owner has said not-dispatched, its attempt never runs."""

        async def scenario(world) -> None:
            commit = world.table.commit

            async def late_answer(change):
                revision = await commit(change)
                await anyio.sleep(0.5)
                return revision

            world.table.commit = late_answer
            told = []

            async def first() -> None:
                told.append(await world.send(world.a, "k"))

            world.tasks.start_soon(first)
            await anyio.sleep(0.05)
            world.table.commit = commit
            result = await world.send(world.b, "k")
            self._told(result, "not-run", "claim-released")
            await anyio.sleep(1)
            self._told(told[0], "not-run", "claim-released")
            self.assertEqual(world.runs, 0)
            result = await world.send(world.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_caller_leaves(self):
        """Repeats of a cancelled attempt learn whether it was dispatched."""

        async def scenario(world) -> None:
            world.latency_s = 1.0
            for pause_s, outcome in ((0.001, "not-run"), (0.5, "unknown")):
                told = []

                async def repeat(told, key) -> None:
                    told.append(await world.send(world.a, key))

                key = f"k-{outcome}"
                with anyio.move_on_after(pause_s):
                    world.tasks.start_soon(
                        functools.partial(_later, repeat, told, key)
                    )
                    await world.send(world.a, key)
                await anyio.sleep(0.1)
                self._told(told[0], outcome, "cancelled")

        self._run(scenario)

    def test_full(self):
        """A full registry refuses new postings as not run."""

        async def scenario(world) -> None:
            registry = posting_registry.PostingRegistry(
                clock=virtual_clock.VirtualClock(), max_records=1
            )
            small = world.start("c", registry=registry)
            first = await world.send(small, "k1")
            self._told(
                await world.send(small, "k2"), "not-run", "postings-full"
            )
            self.assertEqual(await world.send(small, "k1"), first)

        self._run(scenario)


async def _later(work, *args) -> None:
    await anyio.sleep(0.0005)
    await work(*args)
