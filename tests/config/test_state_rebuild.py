"""Tests of rebuilding the state after a start."""

import unittest
import unittest.mock

import anyio

from tests.config import cluster as cluster_module
from tests.fakes import sample_profile


class TestRebuild(unittest.TestCase):
    def test_restart_during_an_outage(self):
        """A restarted node gets its state from its peers."""

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

        cluster_module.run(main)

    def test_one_stale_peer_is_not_enough(self):
        """A restarted node does not settle on the state of a stale peer."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            writer = cluster.nodes["x1"].acceptor()
            await writer.publish(sample_profile.body())
            await anyio.sleep(1)
            for other in ("x1", "x2", "x4"):
                cluster.network.cut("x3", other)
            await writer.publish(sample_profile.body(timeout_ms=9))
            await anyio.sleep(0.1)
            self.assertEqual(cluster.history("x1").seq, 2)
            cluster.set_platform(down=True)
            cluster.crash("x1")
            cluster.network.cut("x1", "x2")
            cluster.network.cut("x1", "x4")
            cluster.network.join_up("x1", "x3")
            cluster.start("x1")
            await anyio.sleep(20)
            self.assertIn("x1", cluster.unsettled("x1"))
            cluster.network.heal()
            await anyio.sleep(5)
            self.assertEqual(cluster.nodes["x1"].state.running_seq, 2)

        cluster_module.run(main)

    def test_without_peers_and_platform_it_waits(self):
        """A node does not settle while it may have run a newer state."""

        async def main(cluster):
            cluster.set_platform(down=True)
            cluster.start_all()
            await anyio.sleep(60)
            self.assertEqual(len(cluster.unsettled("x1")), 4)
            cluster.set_platform(down=False)
            await anyio.sleep(10)
            self.assertEqual(cluster.unsettled("x1"), [])

        cluster_module.run(main)

    def test_reads_of_a_mass_start_are_bounded(self):
        """Each node without peers reads once, spread over the window."""

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
            cluster_module.run(main, data_centres=alone)
