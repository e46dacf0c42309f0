"""Tests of the posting guard."""

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

    def _assert_result(self, result, outcome: str, failure: str) -> None:
        self.assertEqual((result.outcome, result.failure), (outcome, failure))
        if outcome == "not-run" and result.status == 503:
            self.assertGreater(result.retry_after_ms, 0)

    def test_repeats_share(self):
        """Concurrent and later repeats get the answer of the single run."""

        async def scenario(cluster) -> None:
            results = []

            async def send() -> None:
                results.append(await cluster.send(cluster.a, "k"))

            async with anyio.create_task_group() as callers:
                for _ in range(5):
                    callers.start_soon(send)
            results.append(await cluster.send(cluster.a, "k"))
            results.append(await cluster.send(cluster.b, "k"))
            self.assertEqual(results, [node.answer("run 1")] * 7)
            self.assertEqual(cluster.runs, 1)

        self._run(scenario)

    def test_key_of_another_request(self):
        """A key that is reused with another body or path is refused."""

        async def scenario(cluster) -> None:
            await cluster.send(cluster.a, "k")
            for target_node in (cluster.a, cluster.b):
                for change in ({"body": b"other"}, {"path": "/other"}):
                    result = await cluster.send(target_node, "k", **change)
                    self._assert_result(result, "not-run", "posting-key-reused")
                    self.assertEqual(result.status, 422)
            self.assertEqual(cluster.runs, 1)

        self._run(scenario)

    def test_invalid_keys(self):
        """A missing, long or malformed key never runs."""

        async def scenario(cluster) -> None:
            for key in ("", "k" * 257, "gt1.a.100.9.ab.cd"):
                result = await cluster.send(cluster.a, key)
                self.assertEqual(result.status, 400)
                self.assertEqual(result.outcome, "not-run")
            self.assertEqual(cluster.runs, 0)

        self._run(scenario)

    def test_ticket_needs_no_table(self):
        """A ticket runs once even while the table is down."""

        async def scenario(cluster) -> None:
            cluster.table.down = True
            key = cluster.a.tickets.issue("a", world.INCARNATION)
            first = await cluster.send(cluster.a, key)
            self.assertEqual(await cluster.send(cluster.a, key), first)
            self.assertEqual(first, node.answer("run 1"))

        self._run(scenario)

    def test_ticket_refusals(self):
        """Tickets that expired or name another node process are `unknown`."""

        async def scenario(cluster) -> None:
            key = cluster.a.tickets.issue("a", world.INCARNATION)
            self._assert_result(
                await cluster.send(cluster.b, key),
                "unknown",
                "ticket-other-node",
            )
            old = cluster.a.tickets.issue("a", world.INCARNATION - 1)
            self._assert_result(
                await cluster.send(cluster.a, old),
                "unknown",
                "ticket-other-incarnation",
            )
            cluster.a.guard.add_incarnation(world.INCARNATION - 1)
            self.assertEqual(
                (await cluster.send(cluster.a, old)).outcome, "answer"
            )
            await anyio.sleep(600)
            self._assert_result(
                await cluster.send(cluster.a, key), "unknown", "ticket-expired"
            )
            self.assertEqual(cluster.runs, 1)

        self._run(scenario)

    def test_outage(self):
        """While the table is down, a plain key is refused immediately."""

        async def scenario(cluster) -> None:
            cluster.table.down = True
            started_s = anyio.current_time()
            result = await cluster.send(cluster.a, "k")
            self._assert_result(result, "not-run", "claim-not-made")
            self.assertLess(anyio.current_time() - started_s, 0.01)
            cluster.table.down = False
            result = await cluster.send(cluster.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_hanging_table(self):
        """A claim that is not confirmed within 1 s never runs."""

        async def scenario(cluster) -> None:
            async def hang(change):
                await anyio.sleep(30)

            commit, cluster.table.commit = cluster.table.commit, hang
            started_s = anyio.current_time()
            result = await cluster.send(cluster.a, "k")
            self._assert_result(result, "not-run", "claim-not-made")
            self.assertLess(anyio.current_time() - started_s, 1.1)
            cluster.table.commit = commit
            await anyio.sleep(60)
            self.assertEqual(cluster.runs, 0)

        self._run(scenario)

    def test_not_started(self):
        """A posting shed by the target frees its key for a repeat."""

        async def scenario(cluster) -> None:
            cluster.error = exceptions.TargetShedError("busy")
            result = await cluster.send(cluster.a, "k")
            self._assert_result(result, "not-run", "target-shed")
            cluster.error = None
            await anyio.sleep(0.1)
            result = await cluster.send(cluster.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_target_answer_lost(self):
        """After a lost answer the key is unknown and never runs again."""

        async def scenario(cluster) -> None:
            cluster.error = exceptions.TargetAnswerLostError("lost")
            result = await cluster.send(cluster.a, "k")
            self._assert_result(result, "unknown", "target-answer-lost")
            cluster.error = None
            for target_node in (cluster.a, cluster.b):
                result = await cluster.send(target_node, "k")
                self._assert_result(result, "unknown", "posting-may-have-run")
            self.assertEqual(cluster.runs, 1)

        self._run(scenario)

    def test_owner_dead(self):
        """A claim of a dead or restarted owner is unknown."""

        async def scenario(cluster) -> None:
            await cluster.send(cluster.a, "k")
            cluster.a.kill()
            cluster.network.leave("a")
            result = await cluster.send(cluster.b, "k")
            self._assert_result(result, "unknown", "peer-unreachable")
            restarted = cluster.start("a", world.INCARNATION + 1)
            for target_node in (cluster.b, restarted):
                result = await cluster.send(target_node, "k")
                self._assert_result(result, "unknown", "posting-may-have-run")
            self.assertEqual(cluster.runs, 1)

        self._run(scenario)

    def test_status_request_before_dispatch(self):
        """An attempt reported as not-dispatched never runs."""

        async def scenario(cluster) -> None:
            commit = cluster.table.commit

            async def late_answer(change):
                revision = await commit(change)
                await anyio.sleep(0.5)
                return revision

            cluster.table.commit = late_answer
            results = []

            async def first() -> None:
                results.append(await cluster.send(cluster.a, "k"))

            cluster.tasks.start_soon(first)
            await anyio.sleep(0.05)
            cluster.table.commit = commit
            result = await cluster.send(cluster.b, "k")
            self._assert_result(result, "not-run", "claim-released")
            await anyio.sleep(1)
            self._assert_result(results[0], "not-run", "claim-released")
            self.assertEqual(cluster.runs, 0)
            result = await cluster.send(cluster.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_caller_cancels(self):
        """Repeats of a cancelled attempt get `not-run` only before dispatch."""

        async def scenario(cluster) -> None:
            cluster.latency_s = 1.0
            commit = cluster.table.commit

            async def slow_commit(change):
                await anyio.sleep(0.1)
                return await commit(change)

            cluster.table.commit = slow_commit
            for pause_s, outcome in ((0.05, "not-run"), (0.5, "unknown")):
                results = []

                async def repeat(results, key) -> None:
                    results.append(await cluster.send(cluster.a, key))

                key = f"k-{outcome}"
                with anyio.move_on_after(pause_s):
                    cluster.tasks.start_soon(
                        functools.partial(_call_later, repeat, results, key)
                    )
                    await cluster.send(cluster.a, key)
                await anyio.sleep(0.1)
                self._assert_result(results[0], outcome, "cancelled")

        self._run(scenario)

    def test_confirmed_cancel(self):
        """A cancel confirmed before the start frees the key."""

        async def scenario(cluster) -> None:
            async def dispatch():
                try:
                    await anyio.sleep(10)
                except anyio.get_cancelled_exc_class():
                    return posting_results.not_run("cancelled", "confirmed")

            with anyio.move_on_after(0.1):
                await cluster.a.call(node.request("k"), dispatch)
            await anyio.sleep(0.1)
            result = await cluster.send(cluster.b, "k")
            self.assertEqual(result, node.answer("run 1"))

        self._run(scenario)

    def test_full(self):
        """A full registry refuses new postings with `not-run`."""

        async def scenario(cluster) -> None:
            registry = posting_registry.PostingRegistry(
                clock=virtual_clock.VirtualClock(), max_records=1
            )
            small = cluster.start("c", registry=registry)
            first = await cluster.send(small, "k1")
            self._assert_result(
                await cluster.send(small, "k2"), "not-run", "postings-full"
            )
            self.assertEqual(await cluster.send(small, "k1"), first)

        self._run(scenario)


async def _call_later(callback, *args) -> None:
    await anyio.sleep(0.0005)
    await callback(*args)
