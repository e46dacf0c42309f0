"""Tests of the posting guard, rule by rule."""

import functools
import unittest

import anyio

from galenatack import exceptions
from galenatack.postings import posting_registry
from galenatack.postings import posting_results
from tests.fakes import virtual_clock
from tests.fakes import virtual_run
from tests.postings import node
from tests.postings import world


class TestPostingGuard(unittest.TestCase):
    def _run(self, scenario) -> None:
        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                await scenario(world.World(tasks))
                tasks.cancel_scope.cancel()

        virtual_run.run(main, seed=1)

    def _told(self, result, outcome: str, failure: str) -> None:
        self.assertEqual((result.outcome, result.failure), (outcome, failure))
        if outcome == "not-run" and result.status == 503:
            self.assertGreater(result.retry_after_ms, 0)

    def test_repeats_share(self):
        """Repeats in flight and later get the one answer of the one run."""

        async def scenario(at) -> None:
            results = []

            async def send() -> None:
                results.append(await at.send(at.a, "k"))

            async with anyio.create_task_group() as callers:
                for _ in range(5):
                    callers.start_soon(send)
            results.append(await at.send(at.a, "k"))
            results.append(await at.send(at.b, "k"))
            self.assertEqual(results, [node.answer("run 1")] * 7)
            self.assertEqual(at.runs, 1)

        self._run(scenario)

    def test_other_request(self):
        """A key of another body or path is refused on every node."""

        async def scenario(at) -> None:
            await at.send(at.a, "k")
            for where in (at.a, at.b):
                for change in ({"body": b"other"}, {"path": "/other"}):
                    result = await at.send(where, "k", **change)
                    self._told(result, "not-run", "posting-key-reused")
                    self.assertEqual(result.status, 422)
            self.assertEqual(at.runs, 1)

        self._run(scenario)

    def test_keys(self):
        """A missing, long or malformed key never runs."""

        async def scenario(at) -> None:
            for key in ("", "k" * 257, "gt1.a.100.9.ab.cd"):
                result = await at.send(at.a, key)
                self.assertEqual(result.status, 400)
                self.assertEqual(result.outcome, "not-run")
            self.assertEqual(at.runs, 0)

        self._run(scenario)

    def test_ticket_needs_no_table(self):
        """A ticket runs once, also when the table is down."""

        async def scenario(at) -> None:
            at.table.down = True
            key = at.a.tickets.issue("a", world.INCARNATION)
            first = await at.send(at.a, key)
            self.assertEqual(await at.send(at.a, key), first)
            self.assertEqual(first, node.answer("run 1"))

        self._run(scenario)

    def test_ticket_refusals(self):
        """A ticket of another node or incarnation, or expired, is unknown."""

        async def scenario(at) -> None:
            key = at.a.tickets.issue("a", world.INCARNATION)
            self._told(await at.send(at.b, key), "unknown", "ticket-other-node")
            old = at.a.tickets.issue("a", world.INCARNATION - 1)
            self._told(
                await at.send(at.a, old),
                "unknown",
                "ticket-other-incarnation",
            )
            at.a.guard.add_incarnation(world.INCARNATION - 1)
            self.assertEqual((await at.send(at.a, old)).outcome, "answer")
            await anyio.sleep(600)
            self._told(await at.send(at.a, key), "unknown", "ticket-expired")
            self.assertEqual(at.runs, 1)

        self._run(scenario)

    def test_outage(self):
        """Without the table a plain key is refused at once."""

        async def scenario(at) -> None:
            at.table.down = True
            began_s = anyio.current_time()
            result = await at.send(at.a, "k")
            self._told(result, "not-run", "claim-not-made")
            self.assertLess(anyio.current_time() - began_s, 0.01)
            at.table.down = False
            result = await at.send(at.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_hanging_table(self):
        """A claim that is not confirmed within 1 s never runs."""

        async def scenario(at) -> None:
            async def hang(change):
                await anyio.sleep(30)

            commit, at.table.commit = at.table.commit, hang
            began_s = anyio.current_time()
            result = await at.send(at.a, "k")
            self._told(result, "not-run", "claim-not-made")
            self.assertLess(anyio.current_time() - began_s, 1.1)
            at.table.commit = commit
            await anyio.sleep(60)
            self.assertEqual(at.runs, 0)

        self._run(scenario)

    def test_not_started(self):
        """A posting that the target shed frees its key for a repeat."""

        async def scenario(at) -> None:
            at.error = exceptions.TargetShedError("busy")
            result = await at.send(at.a, "k")
            self._told(result, "not-run", "target-shed")
            at.error = None
            await anyio.sleep(0.1)
            result = await at.send(at.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_target_answer_lost(self):
        """After a lost answer the key is unknown and never runs again."""

        async def scenario(at) -> None:
            at.error = exceptions.TargetAnswerLostError("lost")
            result = await at.send(at.a, "k")
            self._told(result, "unknown", "target-answer-lost")
            at.error = None
            for where in (at.a, at.b):
                result = await at.send(where, "k")
                self._told(result, "unknown", "posting-may-have-run")
            self.assertEqual(at.runs, 1)

        self._run(scenario)

    def test_owner_dead(self):
        """A claim of a dead or restarted owner is unknown."""

        async def scenario(at) -> None:
            await at.send(at.a, "k")
            at.a.kill()
            at.network.leave("a")
            result = await at.send(at.b, "k")
            self._told(result, "unknown", "peer-unreachable")
            again = at.start("a", world.INCARNATION + 1)
            for where in (at.b, again):
                result = await at.send(where, "k")
                self._told(result, "unknown", "posting-may-have-run")
            self.assertEqual(at.runs, 1)

        self._run(scenario)

    def test_asked_before_dispatch(self):
        """Once the owner has said not-dispatched, its attempt never runs."""

        async def scenario(at) -> None:
            commit = at.table.commit

            async def late_answer(change):
                revision = await commit(change)
                await anyio.sleep(0.5)
                return revision

            at.table.commit = late_answer
            told = []

            async def first() -> None:
                told.append(await at.send(at.a, "k"))

            at.tasks.start_soon(first)
            await anyio.sleep(0.05)
            at.table.commit = commit
            result = await at.send(at.b, "k")
            self._told(result, "not-run", "claim-released")
            await anyio.sleep(1)
            self._told(told[0], "not-run", "claim-released")
            self.assertEqual(at.runs, 0)
            result = await at.send(at.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_caller_leaves(self):
        """Repeats of a cancelled attempt learn whether it was dispatched."""

        async def scenario(at) -> None:
            at.latency_s = 1.0
            commit = at.table.commit

            async def slow_commit(change):
                await anyio.sleep(0.1)
                return await commit(change)

            at.table.commit = slow_commit
            for pause_s, outcome in ((0.05, "not-run"), (0.5, "unknown")):
                told = []

                async def repeat(told, key) -> None:
                    told.append(await at.send(at.a, key))

                key = f"k-{outcome}"
                with anyio.move_on_after(pause_s):
                    at.tasks.start_soon(
                        functools.partial(_later, repeat, told, key)
                    )
                    await at.send(at.a, key)
                await anyio.sleep(0.1)
                self._told(told[0], outcome, "cancelled")

        self._run(scenario)

    def test_confirmed_cancel(self):
        """A cancel that the target confirmed before the start frees the key."""

        async def scenario(at) -> None:
            async def dispatch():
                try:
                    await anyio.sleep(10)
                except anyio.get_cancelled_exc_class():
                    return posting_results.not_run("cancelled", "confirmed")

            with anyio.move_on_after(0.1):
                await at.a.call(node.request("k"), dispatch)
            await anyio.sleep(0.1)
            result = await at.send(at.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_full(self):
        """A full registry refuses new postings as not run."""

        async def scenario(at) -> None:
            registry = posting_registry.PostingRegistry(
                clock=virtual_clock.VirtualClock(), max_records=1
            )
            small = at.start("c", registry=registry)
            first = await at.send(small, "k1")
            self._told(await at.send(small, "k2"), "not-run", "postings-full")
            self.assertEqual(await at.send(small, "k1"), first)

        self._run(scenario)


async def _later(work, *args) -> None:
    await anyio.sleep(0.0005)
    await work(*args)
