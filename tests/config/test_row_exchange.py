"""Tests of rows that peers give each other."""

import asyncio
import random
import unittest

import anyio

from galenatack.config import row_exchange
from galenatack.config import row_mirror
from galenatack.messages import heartbeat
from tests.config import test_row_mirror
from tests.fakes import memory_network
from tests.fakes import virtual_loop


class TestRowExchange(unittest.TestCase):
    def play(self, scenario, *, is_healthy=True, is_near=True):
        """Runs a scenario on a node `a` that is behind a node `b`."""

        async def main():
            async with anyio.create_task_group() as tasks:
                network = memory_network.MemoryNetwork(
                    tasks, rng=random.Random(1)
                )
                mirrors = {}
                exchanges = {}
                for name in "ab":
                    mirrors[name] = row_mirror.RowMirror(tables=("op",))
                    exchanges[name] = row_exchange.RowExchange(
                        mirror=mirrors[name],
                        peers=network.join(name),
                        on_behind=lambda: None,
                        is_store_healthy=lambda: is_healthy,
                        is_near=lambda node_id: is_near,
                        clock=virtual_loop.LoopClock(),
                    )
                mirrors["b"].apply([test_row_mirror.row("config", 7)])
                beat = heartbeat.Heartbeat(0, 0, 0, mirrors["b"].revisions)

                async def hear():
                    await exchanges["a"].on_heartbeat("b", beat)

                async def hear_equal():
                    same = heartbeat.Heartbeat(0, 0, 0, mirrors["a"].revisions)
                    await exchanges["a"].on_heartbeat("c", same)

                hear.equal = hear_equal

                await scenario(mirrors["a"], hear)

        virtual_loop.run(main)

    def test_a_node_without_the_store_pulls_at_once(self):
        """Nothing else brings the rows."""

        async def scenario(mirror, hear):
            await hear()
            self.assertEqual(mirror.revisions, (7,))

        self.play(scenario, is_healthy=False)

    def test_the_store_comes_first(self):
        """A peer is asked only when the store has not brought the rows."""

        async def scenario(mirror, hear):
            await hear()
            self.assertEqual(mirror.revisions, (0,))
            await asyncio.sleep(1.1)
            await hear()
            self.assertEqual(mirror.revisions, (7,))

        self.play(scenario)

    def test_a_peer_that_is_behind_as_well_does_not_hide_the_others(self):
        """Nodes that the store does not answer hear each other, too."""

        async def scenario(mirror, hear):
            for _ in range(4):
                await hear()
                await hear.equal()
                await asyncio.sleep(0.5)
            self.assertEqual(mirror.revisions, (7,))

        self.play(scenario)

    def test_another_region_is_asked_later(self):
        """Rows cross the link between regions only when they must."""

        async def scenario(mirror, hear):
            await hear()
            await asyncio.sleep(1.1)
            await hear()
            self.assertEqual(mirror.revisions, (0,))
            await asyncio.sleep(1.0)
            await hear()
            self.assertEqual(mirror.revisions, (7,))

        self.play(scenario, is_near=False)
