"""Tests of rows that peers give each other."""

import asyncio
import random
import unittest

import anyio

from galenatack import exceptions
from galenatack.config import row_codec
from galenatack.config import row_exchange
from galenatack.config import row_mirror
from galenatack.messages import heartbeat
from galenatack.messages import rows as rows_message
from galenatack.model import proximity
from tests.config import test_row_mirror
from tests.fakes import memory_network
from tests.fakes import virtual_loop

NEAREST = proximity.Proximity.OWN_DATA_CENTRE
NEAR = proximity.Proximity.OWN_REGION
FAR = proximity.Proximity.OTHER_REGION


class Pair:
    """A node `a` that is behind a node `b`, and one `c` equal to `a`."""

    def __init__(self, tasks, *, is_healthy, is_following, distance):
        self.tasks = tasks
        self.announced = []
        network = memory_network.MemoryNetwork(tasks, rng=random.Random(1))
        self.network = network
        self.mirrors = {}
        self.exchanges = {}
        for name in "abc":
            self.mirrors[name] = row_mirror.RowMirror(tables=("op",))
            peers = network.join(name)
            self.exchanges[name] = row_exchange.RowExchange(
                mirror=self.mirrors[name],
                peers=peers,
                own_heartbeat=lambda name=name: self.beat(name),
                on_newer_peer=lambda: None,
                is_following=lambda: is_following,
                is_store_healthy=lambda: is_healthy,
                proximity_of=lambda node_id: distance,
                clock=virtual_loop.LoopClock(),
            )
            peers.on(
                heartbeat.Heartbeat,
                lambda sender, message, name=name: self._heard(name, sender),
            )
        self.mirror = self.mirrors["a"]
        self.mirrors["b"].apply([test_row_mirror.row("config", 7)])

    async def _heard(self, name, sender):
        self.announced.append((sender, name))

    def beat(self, name):
        """Returns the heartbeat of a node."""
        return heartbeat.Heartbeat(0, 0, 0, self.mirrors[name].revisions)

    def hear(self, sender):
        """Lets node `a` hear the heartbeat of another one."""
        self.tasks.start_soon(
            self.exchanges["a"].on_heartbeat, sender, self.beat(sender)
        )


class TestRowExchange(unittest.TestCase):
    def play(
        self, scenario, *, is_healthy=True, is_following=True, distance=NEAR
    ):
        async def main():
            async with anyio.create_task_group() as tasks:
                await scenario(
                    Pair(
                        tasks,
                        is_healthy=is_healthy,
                        is_following=is_following,
                        distance=distance,
                    )
                )

        virtual_loop.run(main)

    def check_wait(self, wait_s, **options):
        """Checks that rows come after a wait and not before."""

        async def scenario(pair):
            pair.hear("b")
            await asyncio.sleep(wait_s - 0.05)
            self.assertEqual(pair.mirror.revisions, (0,))
            await asyncio.sleep(0.15)
            self.assertEqual(pair.mirror.revisions, (7,))

        self.play(scenario, **options)

    def test_a_node_without_the_store_pulls_at_once(self):
        """Nothing else brings the rows."""

        async def scenario(pair):
            pair.hear("b")
            await asyncio.sleep(0.05)
            self.assertEqual(pair.mirror.revisions, (7,))

        self.play(scenario, is_healthy=False)

    def test_a_node_that_stands_by_pulls_at_once_from_the_nearest(self):
        """Its data centre's follower has the rows first."""

        async def scenario(pair):
            pair.hear("b")
            await asyncio.sleep(0.05)
            self.assertEqual(pair.mirror.revisions, (7,))

        self.play(scenario, is_following=False, distance=NEAREST)

    def test_a_node_that_stands_by_gives_its_own_follower_time(self):
        """Rows cross to another data centre only when they must."""
        self.check_wait(0.4, is_following=False, distance=NEAR)
        self.check_wait(0.9, is_following=False, distance=FAR)

    def test_the_store_comes_first(self):
        """A peer is asked only when the store has not brought the rows."""
        self.check_wait(1.0, distance=NEAR)

    def test_another_region_is_asked_later(self):
        """Rows cross the link between regions only when they must."""
        self.check_wait(2.0, distance=FAR)

    def test_a_peer_that_is_behind_as_well_does_not_hide_the_others(self):
        """Nodes that the store does not answer hear each other, too."""

        async def scenario(pair):
            for _ in range(4):
                pair.hear("b")
                pair.hear("c")
                await asyncio.sleep(0.5)
            self.assertEqual(pair.mirror.revisions, (7,))

        self.play(scenario)

    def test_rows_that_the_store_brings_meanwhile_are_not_pulled(self):
        """The wait ends without a message."""

        async def scenario(pair):
            pair.hear("b")
            await asyncio.sleep(0.5)
            pair.mirror.apply([test_row_mirror.row("config", 7)])
            await asyncio.sleep(1.0)
            self.assertEqual(pair.announced, [])

        self.play(scenario)

    def test_pulled_rows_are_announced_to_other_neighbours(self):
        """They reach a large data centre in a few hops, not in seconds."""

        async def scenario(pair):
            pair.hear("b")
            await asyncio.sleep(0.1)
            self.assertEqual(pair.announced, [("a", "c")])

        self.play(scenario, is_following=False, distance=NEAREST)

    def test_rows_told_of_during_a_pull_are_pulled_as_well(self):
        """The peer need not tell of them again."""

        async def scenario(pair):
            pair.hear("b")
            await asyncio.sleep(0.2)
            pair.mirrors["b"].apply([test_row_mirror.row("config", 9)])
            pair.hear("b")
            await asyncio.sleep(0.3)
            self.assertEqual(pair.mirror.revisions, (9,))

        self.play(scenario, is_following=False, distance=NEAR)

    def test_a_peer_without_a_kept_link_is_not_asked(self):
        """A far one that does not answer would hold up the nearer ones."""

        async def scenario(pair):
            pair.network.cut("a", "b")
            pair.hear("b")
            await asyncio.sleep(0.5)
            pair.mirrors["c"].apply([test_row_mirror.row("config", 7)])
            pair.hear("c")
            await asyncio.sleep(0.1)
            self.assertEqual(pair.mirror.revisions, (7,))

        self.play(scenario, is_healthy=False)


class TestRowCodec(unittest.TestCase):
    def test_rows_are_the_same_after_the_way(self):
        """Values come back whole; text that repeats gets much shorter."""
        row = test_row_mirror.row("config", 7)._replace(value=b"route " * 9000)
        message = row_codec.pack((row,))
        self.assertLess(len(message.rows[0].value), 1000)
        self.assertEqual(row_codec.unpack(message), (row,))

    def test_rows_of_an_older_release_are_read(self):
        """They come as they are."""
        row = test_row_mirror.row("config", 7)
        message = rows_message.Rows((row,))
        self.assertEqual(row_codec.unpack(message), (row,))

    def test_malformed_and_huge_values_are_refused(self):
        """A peer can neither crash this node nor fill its memory."""
        row = test_row_mirror.row("config", 7)
        huge = row._replace(value=b"0" * (row_codec.MAX_ROW_BYTES + 1))
        whole = row_codec.pack((row,)).rows[0]
        for message in (
            row_codec.pack((huge,)),
            rows_message.Rows((row,), is_deflated=True),
            rows_message.Rows(
                (whole._replace(value=whole.value[:-3]),), is_deflated=True
            ),
        ):
            with self.assertRaises(exceptions.DocumentError):
                row_codec.unpack(message)
