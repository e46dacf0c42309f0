"""Tests of holding, running and pulling."""

import json
import random
import unittest
import unittest.mock

import anyio

from galenatack import exceptions
from galenatack.config import held_seq_tracker
from galenatack.config import propagation
from galenatack.config import transfer_limiter
from galenatack.invariants import convergence
from galenatack.messages import busy
from galenatack.messages import delta
from galenatack.model import entry
from tests.config import cluster as cluster_module
from tests.fakes import manual_clock
from tests.fakes import sample_profile


class TestHeldSeqTracker(unittest.TestCase):
    def test_two_others_or_all(self):
        """Two other holders are needed, or all if there are fewer."""
        tracker = held_seq_tracker.HeldSeqTracker()
        tracker.raise_to("b", 7)
        tracker.raise_to("far", 9)
        self.assertEqual(tracker.replicated_seq(9, {"b", "c", "d"}), 0)
        self.assertEqual(tracker.replicated_seq(9, {"b"}), 7)
        self.assertEqual(tracker.replicated_seq(9, set()), 9)
        tracker.raise_to("c", 8)
        self.assertEqual(tracker.replicated_seq(9, {"b", "c", "d"}), 7)
        tracker.remove("c")
        self.assertEqual(tracker.replicated_seq(9, {"b", "c", "d"}), 0)


class TestTransferLimiter(unittest.TestCase):
    def test_two_large_transfers_at_once(self):
        """A third transfer is refused until one of the two has ended."""
        clock = manual_clock.ManualClock()
        limiter = transfer_limiter.TransferLimiter(
            clock=clock, rng=random.Random(1)
        )
        body = b"x" * transfer_limiter.TRANSFER_BYTES_PER_S
        big = delta.Delta(0, 1, (entry.Entry("a", 1, 1, "d", body),), None)
        small = delta.Delta(0, 1, (), None)
        self.assertIs(limiter.admit(big), big)
        self.assertIs(limiter.admit(big), big)
        refusal = limiter.admit(big)
        self.assertIsInstance(refusal, busy.Busy)
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertIs(limiter.admit(small), small)
        clock.advance(1.1)
        self.assertIs(limiter.admit(big), big)


class TestPropagation(unittest.TestCase):
    def test_change_runs_everywhere_soon(self):
        """A change accepted on one node runs on all within 100 ms."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            writer = cluster.nodes["x3"].acceptor()
            await writer.publish(sample_profile.body())
            await anyio.sleep(0.1)
            for node in cluster.nodes.values():
                self.assertEqual(node.state.running_seq, 1)

        cluster_module.run(main)

    def test_idle_tick_does_not_list_live_nodes(self):
        """Ticks without anything to run do not scan the membership."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            node = cluster.nodes["x1"]
            item = await node.acceptor().publish(
                json.dumps(sample_profile.fields()).encode(), expect=None
            )
            await anyio.sleep(2)
            self.assertEqual(node.state.running_seq, item.seq)
            scan = unittest.mock.Mock(return_value=[])
            node.propagation._live = scan
            await anyio.sleep(3)
            scan.assert_not_called()

        cluster_module.run(main)

    def test_no_run_without_two_holders(self):
        """An isolated node holds a change but does not run it."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            for other in ("x2", "x3", "x4"):
                cluster.network.cut("x1", other)
            node = cluster.nodes["x1"]
            await node.acceptor().publish(sample_profile.body())
            await anyio.sleep(0.2)
            self.assertEqual(
                (node.state.held_seq, node.state.running_seq), (1, 0)
            )
            cluster.network.heal()
            await anyio.sleep(2)
            self.assertEqual(node.state.running_seq, 1)

        cluster_module.run(main)

    def test_large_state_arrives_in_parts(self):
        """A state above the frame limit is pulled in parts."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            writer = cluster.nodes["x1"].acceptor()
            for number in range(6):
                await writer.publish(sample_profile.body(f"p{number}"))
            cluster.crash("x4")
            await writer.publish(sample_profile.body("p0", timeout_ms=9))
            cluster.start("x4")
            await anyio.sleep(5)
            state = cluster.nodes["x4"].state
            self.assertEqual(state.running_seq, 7)
            self.assertEqual(
                state.running(), cluster.nodes["x1"].state.running()
            )

        with unittest.mock.patch.object(propagation, "MAX_DELTA_BYTES", 900):
            cluster_module.run(main)

    def test_malformed_reply_is_refused(self):
        """A reply that starts too late ends the pull with an error."""

        async def main(cluster):
            cluster.start("x1")
            peers = cluster.network.join("x2")
            reply = delta.Delta(5, 9, (), None)

            async def answer(sender, message):
                return reply

            peers.on(propagation.pull_delta.PullDelta, answer)
            with self.assertRaises(exceptions.ProtocolError):
                await cluster.nodes["x1"].propagation.pull_from("x2")

        cluster_module.run(main)


class TestConvergenceCheck(unittest.TestCase):
    def test_step_that_does_not_run(self):
        """A node that holds a replicated change but does not run it."""

        async def main(cluster):
            cluster.start_all()
            while cluster.unsettled("x1"):
                await anyio.sleep(0.1)
            stuck = cluster.nodes["x2"].state
            with unittest.mock.patch.object(
                stuck, "run_up_to", return_value=()
            ):
                await (
                    cluster.nodes["x1"]
                    .acceptor()
                    .publish(sample_profile.body("p"), expect=None)
                )
                await anyio.sleep(convergence.CONVERGENCE_BOUND_S + 1.0)

        with self.assertRaises(BaseExceptionGroup) as caught:
            cluster_module.run(main)
        found, _ = caught.exception.split(convergence.ConvergenceError)
        self.assertIsNotNone(found)
