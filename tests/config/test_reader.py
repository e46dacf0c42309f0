"""Tests of reading the platform."""

import unittest

import anyio

from galenatack.config import platform_log
from tests.config import cluster as cluster_module
from tests.fakes import sample_profile


class TestReader(unittest.TestCase):
    def test_only_two_nodes_poll(self):
        """Only two of four nodes poll the platform."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(20)
            reads = cluster.table.reads
            await anyio.sleep(100)
            rate = (cluster.table.reads - reads) / 100
            self.assertAlmostEqual(rate, 4.0, delta=0.4)

        cluster_module.run(main)

    def test_change_of_another_writer_is_read(self):
        """A change that no node has accepted is read, also after an outage."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            writer = cluster.nodes["x1"].acceptor()
            writer._accept_delta = None
            await writer.publish(sample_profile.body())
            cluster.set_platform(down=True)
            await anyio.sleep(30)
            cluster.set_platform(down=False)
            await anyio.sleep(5)
            for node in cluster.nodes.values():
                self.assertEqual(node.state.running_seq, 1)

        cluster_module.run(main)

    def test_remote_platform_is_read_in_parallel(self):
        """With 60 ms for each read, 40 profiles are read within 1 s."""

        async def main(cluster):
            cluster.start("x1")
            writer = cluster.nodes["x1"].acceptor()
            writer._accept_delta = None
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

        cluster_module.run(main)

    def test_corrupt_body_is_not_held(self):
        """A body that does not match its digest is read again, not held."""

        async def main(cluster):
            cluster.start_all()
            await anyio.sleep(5)
            node = cluster.nodes["x1"]
            writer = node.acceptor()
            writer._accept_delta = None
            item = await writer.publish(sample_profile.body())
            cluster.objects.objects[item.digest] = b"{}"
            await anyio.sleep(5)
            self.assertEqual(node.state.held_seq, 0)
            cluster.objects.objects[item.digest] = item.body
            await anyio.sleep(5)
            self.assertEqual(node.state.running_seq, 1)

        cluster_module.run(main)
