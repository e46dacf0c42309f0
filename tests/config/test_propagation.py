"""Tests of holding, running, pulling, reading and rebuilding."""

import collections.abc
import random
import unittest
import unittest.mock

import anyio

from galenatack import exceptions
from galenatack.config import held_book
from galenatack.config import platform_log
from galenatack.config import propagation
from galenatack.config import transfer_slots
from galenatack.messages import busy
from galenatack.messages import delta
from galenatack.model import entry
from tests.config import cluster as cluster_module
from tests.fakes import manual_clock
from tests.fakes import sample_profile
from tests.fakes import virtual_run

FOUR = {"x": ("x1", "x2", "x3", "x4")}


def with_cluster(
    main: collections.abc.Callable,
    *,
    data_centres: dict[str, tuple[str, ...]] = FOUR,
    seed: int = 1,
) -> None:
    """Runs `main(cluster)` on a cluster whose nodes are not started."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            await main(
                cluster_module.Cluster(
                    tasks,
                    rng=random.Random(seed),
                    data_centres=data_centres,
                )
            )
            tasks.cancel_scope.cancel()

    virtual_run.run(run, seed=seed)


class TestHeldBook(unittest.TestCase):
    def test_two_others_or_all(self):
        """Two other holders are enough, one of one, and none of none."""
        book = held_book.HeldBook()
        book.raise_to("b", 7)
        book.raise_to("far", 9)
        self.assertEqual(book.safe_seq(9, {"b", "c", "d"}), 0)
        self.assertEqual(book.safe_seq(9, {"b"}), 7)
        self.assertEqual(book.safe_seq(9, set()), 9)
        book.raise_to("c", 8)
        self.assertEqual(book.safe_seq(9, {"b", "c", "d"}), 7)
        book.forget("c")
        self.assertEqual(book.safe_seq(9, {"b", "c", "d"}), 0)


class TestTransferSlots(unittest.TestCase):
    def test_two_large_transfers_at_once(self):
        """A third state transfer is refused until one has ended."""
        clock = manual_clock.ManualClock()
        slots = transfer_slots.TransferSlots(clock=clock, rng=random.Random(1))
        body = b"x" * transfer_slots.TRANSFER_BYTES_PER_S
        big = delta.Delta(0, 1, (entry.Entry("a", 1, 1, "d", body),), None)
        small = delta.Delta(0, 1, (), None)
        self.assertIs(slots.admit(big), big)
        self.assertIs(slots.admit(big), big)
        refusal = slots.admit(big)
        self.assertIsInstance(refusal, busy.Busy)
        self.assertGreater(refusal.retry_after_ms, 0)
        self.assertIs(slots.admit(small), small)
        clock.advance(1.1)
        self.assertIs(slots.admit(big), big)


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

        with_cluster(main)

    def test_no_run_without_two_holders(self):
        """A node that is cut off holds a change but does not run it."""

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

        with_cluster(main)

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
            with_cluster(main)

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

        with_cluster(main)


class TestReader(unittest.TestCase):
    def test_only_two_nodes_poll(self):
        """Four nodes read the platform at the rate of two readers."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(20)
            reads = cluster.table.reads
            await anyio.sleep(100)
            rate = (cluster.table.reads - reads) / 100
            self.assertAlmostEqual(rate, 4.0, delta=0.4)

        with_cluster(main)

    def test_change_of_another_writer_is_read(self):
        """A change that no node accepted is read, also after an outage."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            writer = cluster.nodes["x1"].acceptor()
            writer._offer = None
            await writer.publish(sample_profile.body())
            cluster.set_platform(down=True)
            await anyio.sleep(30)
            cluster.set_platform(down=False)
            await anyio.sleep(5)
            for node in cluster.nodes.values():
                self.assertEqual(node.state.running_seq, 1)

        with_cluster(main)

    def test_far_platform_is_read_in_parallel(self):
        """A state of 40 profiles at 60 ms a read is there within 1 s."""

        async def main(cluster):
            cluster.start("x1")
            writer = cluster.nodes["x1"].acceptor()
            writer._offer = None
            for number in range(40):
                await writer.publish(sample_profile.body(f"p{number}"))
            read = cluster.objects.get

            async def read_slowly(name):
                await anyio.sleep(0.06)
                return await read(name)

            cluster.objects.get = read_slowly
            log = platform_log.PlatformLog(
                table=cluster.table,
                objects=cluster.objects,
                state=cluster.nodes["x1"].state,
            )
            with anyio.fail_after(1):
                found = await log.read_missing()
            self.assertEqual([item.seq for item in found.entries][-1], 40)

        with_cluster(main)

    def test_corrupt_body_is_not_held(self):
        """A body that differs from its hash is read again, never held."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            node = cluster.nodes["x1"]
            writer = node.acceptor()
            writer._offer = None
            item = await writer.publish(sample_profile.body())
            cluster.objects.objects[item.digest] = b"{}"
            await anyio.sleep(5)
            self.assertEqual(node.state.held_seq, 0)
            cluster.objects.objects[item.digest] = item.body
            await anyio.sleep(5)
            self.assertEqual(node.state.running_seq, 1)

        with_cluster(main)


class TestRebuild(unittest.TestCase):
    def test_restart_during_an_outage(self):
        """A restarted node gets its state from peers alone."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            await cluster.nodes["x1"].acceptor().publish(sample_profile.body())
            await anyio.sleep(1)
            cluster.set_platform(down=True)
            cluster.crash("x1")
            cluster.start("x1")
            await anyio.sleep(2)
            self.assertEqual(cluster.nodes["x1"].state.running_seq, 1)

        with_cluster(main)

    def test_without_peers_and_platform_it_waits(self):
        """A node that may have run more than it finds does not settle."""

        async def main(cluster):
            cluster.set_platform(down=True)
            cluster.start_all()
            await anyio.sleep(60)
            self.assertEqual(len(cluster.unsettled("x1")), 4)
            cluster.set_platform(down=False)
            await anyio.sleep(10)
            self.assertEqual(cluster.unsettled("x1"), [])

        with_cluster(main)

    def test_reads_of_a_mass_start_are_bounded(self):
        """Lone nodes read the platform once each, spread over the window."""

        async def main(cluster):
            cluster.network.reachable = lambda sender, receiver: False
            cluster.start_all()
            await anyio.sleep(2.9)
            self.assertEqual(cluster.table.reads, 0)
            await anyio.sleep(6)
            self.assertEqual(cluster.table.reads, len(alone))
            self.assertEqual(cluster.unsettled("a0"), [])

        alone = {f"dc{number}": (f"a{number}",) for number in range(30)}
        with unittest.mock.patch.object(cluster_module, "READERS", 0):
            with_cluster(main, data_centres=alone)
