"""Tests of overload, drain and cancellation over several nodes."""

import collections
import unittest

import anyio

from galenatack import exceptions
from galenatack.invariants import graceful_stop
from galenatack.invariants import leaving
from galenatack.invariants import violations
from galenatack.messages import call as call_message
from galenatack.messages import cancel_call
from galenatack.model import call_request
from tests.routing import mesh_rig
from tests.routing import test_outbound_proxy

_NODES = 3
_LATENCY_S = 0.05
_CAPACITY_PER_S = _NODES * mesh_rig.SLOTS / _LATENCY_S


async def _offer(rig, *, rate: float, duration_s: float, posting_every=0):
    """Sends calls to all nodes at a fixed rate and returns all results."""
    results = []

    async def one(number):
        node = number % _NODES
        if posting_every and number % posting_every == 0:
            results.append(await rig.post(f"k{number}", node, 500))
        else:
            results.append(await rig.read(node, f"/x/{number}", 500))

    async with anyio.create_task_group() as tasks:
        for number in range(int(rate * duration_s)):
            tasks.start_soon(one, number)
            await anyio.sleep(1 / rate)
    return results


class TestOverload(unittest.TestCase):
    def test_goodput_at_twice_the_capacity(self):
        """At twice the capacity, goodput is 90% of it and retries are few."""

        async def scenario(rig):
            results = await _offer(rig, rate=2 * _CAPACITY_PER_S, duration_s=5)
            counts = collections.Counter(r.outcome for r in results)
            goodput_per_s = counts["answer"] / 5
            self.assertGreaterEqual(goodput_per_s, 0.9 * _CAPACITY_PER_S)
            self.assertLessEqual(len(rig.started()), 1.1 * counts["answer"])
            self.assertEqual(counts["unknown"], 0)
            for result in results:
                if result.outcome == "not-run":
                    self.assertGreater(result.retry_after_ms, 0)

        for seed in (1, 2, 3):
            test_outbound_proxy.run_rig(scenario, seed=seed)

    def test_postings_run_once_under_overload(self):
        """Under overload, no key starts twice and `not-run` keys never start.

        Guards against a retry of a started posting, and against a refusal that
        is returned after the dispatch.
        """

        async def scenario(rig):
            results = await _offer(
                rig,
                rate=2 * _CAPACITY_PER_S,
                duration_s=2,
                posting_every=3,
            )
            starts = collections.Counter(
                request.idempotency_key
                for request in rig.started()
                if request.posting
            )
            self.assertTrue(starts)
            self.assertEqual(max(starts.values()), 1)
            answered = [r for r in results if r.outcome == "answer"]
            postings = [r for r in answered if b"/offers" in r.body]
            self.assertEqual(len(postings), len(starts))

        test_outbound_proxy.run_rig(scenario)


class TestDrain(unittest.TestCase):
    def test_drain_cuts_nothing(self):
        """A planned stop completes all calls in flight."""

        async def scenario(rig):
            async def leave():
                await anyio.sleep(1.0)
                self.assertGreater(rig.nodes[0].gate.in_flight, 0)
                rig.members[0] = rig.members[0]._replace(status="leaving")
                self.assertTrue(await rig.nodes[0].gate.drain(5.0))
                await anyio.sleep(0.5)
                rig.swap()

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leave)
                results = await _offer(
                    rig, rate=0.5 * _CAPACITY_PER_S, duration_s=3
                )
            self.assertEqual({r.outcome for r in results}, {"answer"})
            self.assertEqual(rig.nodes[0].gate.in_flight, 0)

        test_outbound_proxy.run_rig(scenario)

    def test_drain_that_ends_too_early_is_reported(self):
        """The graceful-stop check fails if calls are left at the end."""

        async def scenario(rig):
            rig.nodes[0].target.latency_s = 1.0
            async with anyio.create_task_group() as tasks:
                for _ in range(9):
                    tasks.start_soon(rig.read, 0)
                await anyio.sleep(0.05)
                with self.assertRaises(graceful_stop.CutCallError) as caught:
                    await rig.nodes[0].gate.drain(0.1)
            self.assertIn("drain_s=0.1", str(caught.exception))

        test_outbound_proxy.run_rig(scenario)

    def test_leaving_gate_refuses_at_once(self):
        """New work is `not-run` as soon as the gate is leaving."""

        async def scenario(rig):
            for node in rig.nodes:
                node.gate.leave()
            result = await rig.read(0)
            self.assertEqual(result.outcome, "not-run")
            self.assertEqual(rig.started(), [])

        test_outbound_proxy.run_rig(scenario)

    def test_queued_calls_do_not_start_late(self):
        """A queued call does not start after `LEAVE_GRACE_S`."""

        async def scenario(rig):
            node = rig.nodes[0]
            node.target.latency_s = 4.0
            rig.members[1:] = [
                record._replace(status="leaving") for record in rig.members[1:]
            ]
            rig.swap()
            results = []

            async def one(number):
                results.append(await rig.read(0, f"/{number}", 20_000))

            async with anyio.create_task_group() as tasks:
                for number in range(6):
                    tasks.start_soon(one, number)
                await anyio.sleep(0.5)
                node.gate.leave()
            self.assertEqual(len(node.target.started), mesh_rig.SLOTS)
            failures = sorted(result.failure for result in results)
            self.assertEqual(failures, ["", "", "", "", "leaving", "leaving"])

        test_outbound_proxy.run_rig(scenario)

    def test_late_dispatch_is_counted_in_count_mode(self):
        """The leaving check counts in mode `count` and raises otherwise."""
        facts = {
            "node_id": "n",
            "call_id": "c",
            "announced_s": 1.0,
            "now_s": 4.5,
        }
        with self.assertRaises(leaving.WorkAfterLeavingError):
            leaving.check(**facts)
        violations.set_mode(violations.COUNT)
        try:
            with self.assertLogs("galenatack.invariants.violations"):
                self.assertFalse(leaving.check(**facts))
        finally:
            violations.set_mode(violations.RAISE)


class TestCancellation(unittest.TestCase):
    def test_queued_call_is_dropped(self):
        """The queued calls of a caller that disconnects are removed."""

        async def scenario(rig):
            node = rig.nodes[0]
            node.target.latency_s = 0.5
            with anyio.move_on_after(0.1):
                async with anyio.create_task_group() as tasks:
                    for _ in range(30):
                        tasks.start_soon(rig.read, 0, "/x", 5000)
            await anyio.sleep(0.1)
            for each in rig.nodes:
                self.assertEqual(each.gate.queued, 0)
                self.assertEqual(each.gate.in_flight, 0)

        test_outbound_proxy.run_rig(scenario)

    def test_cancelled_read_is_no_evidence(self):
        """A read that its caller cancelled is no error of the version."""

        async def scenario(rig):
            node = rig.nodes[0]
            request = call_request.CallRequest(
                "c1", "prices", "read", "GET", "/x", (), b"", 5000, False
            )
            results = []

            async def one():
                call = call_message.Call(request, 0)
                results.append(await node.gate.handle(call))

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(one)
                await anyio.sleep(0.01)
                await rig.nodes[1].peers.send(
                    "n0", cancel_call.CancelCall("c1")
                )
            self.assertEqual(results[0].failure, "cancelled")
            self.assertEqual(node.outcomes, [])

        test_outbound_proxy.run_rig(scenario)

    def test_abandoned_posting_is_recorded(self):
        """A started posting is recorded although its caller disconnected."""

        async def scenario(rig):
            with anyio.move_on_after(0.02):
                await rig.post("k", 0)
            await anyio.sleep(1)
            again = await rig.post("k", 0)
            self.assertEqual(again.outcome, "answer")
            self.assertEqual(len(rig.started()), 1)

        test_outbound_proxy.run_rig(scenario)

    def test_abandoned_posting_before_its_start(self):
        """A posting that is cancelled before it starts leaves no record."""

        async def scenario(rig):
            rig.nodes[0].target.cancellable = True
            with anyio.move_on_after(0.02):
                await rig.post("k", 0)
            self.assertEqual(rig.guard.recorded, {})

        test_outbound_proxy.run_rig(scenario)

    def test_shed_is_not_an_error_of_the_version(self):
        """Shedding is not counted against the target's version."""

        async def scenario(rig):
            for node in rig.nodes:
                node.target.errors = [exceptions.TargetShedError("full")]
            result = await rig.read(0)
            self.assertEqual(result.outcome, "not-run")
            self.assertEqual(len(rig.started()), 2)
            self.assertEqual([n.outcomes for n in rig.nodes], [[], [], []])

        test_outbound_proxy.run_rig(scenario)
