"""Tests of the exchange of rows between peers."""

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


class Peers:
    """A node `a` behind a node `b`, and a node `c` with the rows of `a`."""

    def __init__(
        self,
        tasks,
        *,
        is_healthy,
        is_following,
        distance,
        is_first_carrier,
        delay_s,
    ):
        self.tasks = tasks
        self.announced = []
        self.newer_peers_s = []
        network = memory_network.MemoryNetwork(
            tasks, rng=random.Random(1), delay_s=delay_s
        )
        self.network = network
        self.mirrors = {}
        self.exchanges = {}
        for name in "abc":
            self.mirrors[name] = row_mirror.RowMirror(tables=("op",))
            peers = network.join(name)
            self.exchanges[name] = row_exchange.RowExchange(
                mirror=self.mirrors[name],
                peers=peers,
                own_heartbeat=lambda name=name: self.heartbeat(name),
                on_newer_peer=self._record_newer_peer,
                is_following=lambda: is_following,
                is_store_healthy=lambda: is_healthy,
                is_first_carrier=lambda: is_first_carrier,
                held_version=lambda: 0,
                proximity_of=lambda node_id: distance,
                clock=virtual_loop.LoopClock(),
            )
            peers.on(
                heartbeat.Heartbeat,
                lambda sender, message, name=name: self._record_heartbeat(
                    name, sender
                ),
            )
        self.mirror = self.mirrors["a"]
        self.mirrors["b"].apply([test_row_mirror.row("config", 7)])

    def _record_newer_peer(self):
        self.newer_peers_s.append(anyio.current_time())

    async def _record_heartbeat(self, name, sender):
        self.announced.append((sender, name))

    def heartbeat(self, name):
        """Returns the current heartbeat of a node."""
        return heartbeat.Heartbeat(0, 0, 0, self.mirrors[name].revisions)

    def deliver_heartbeat(self, sender):
        """Delivers the heartbeat of another node to node `a`."""
        self.tasks.start_soon(
            self.exchanges["a"].on_heartbeat, sender, self.heartbeat(sender)
        )


class TestRowExchange(unittest.TestCase):
    def play(
        self,
        scenario,
        *,
        is_healthy=True,
        is_following=True,
        distance=NEAR,
        is_first_carrier=True,
        delay_s=(0.001, 0.005),
    ):
        async def main():
            async with anyio.create_task_group() as tasks:
                await scenario(
                    Peers(
                        tasks,
                        is_healthy=is_healthy,
                        is_following=is_following,
                        distance=distance,
                        is_first_carrier=is_first_carrier,
                        delay_s=delay_s,
                    )
                )

        virtual_loop.run(main)

    def check_delay(self, delay_s, **options):
        """Checks that rows are pulled after a delay and not before."""

        async def scenario(peers):
            peers.deliver_heartbeat("b")
            await asyncio.sleep(delay_s - 0.05)
            self.assertEqual(peers.mirror.revisions, (0,))
            await asyncio.sleep(0.15)
            self.assertEqual(peers.mirror.revisions, (7,))

        self.play(scenario, **options)

    def test_a_node_without_the_store_pulls_at_once(self):
        """The rows would not arrive any other way."""

        async def scenario(peers):
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.05)
            self.assertEqual(peers.mirror.revisions, (7,))

        self.play(scenario, is_healthy=False)

    def test_rows_that_come_late_over_a_slow_link_are_used(self):
        """Pulls that are given up and repeated would never end there."""

        async def scenario(peers):
            for _ in range(3):
                peers.deliver_heartbeat("b")
                await asyncio.sleep(1.0)
            self.assertEqual(peers.mirror.revisions, (7,))

        self.play(scenario, is_healthy=False, delay_s=(0.6, 0.7))

    def test_a_passive_node_pulls_at_once_from_its_own_region(self):
        """The followers of its region get the rows first."""

        async def scenario(peers):
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.05)
            self.assertEqual(peers.mirror.revisions, (7,))

        self.play(scenario, is_following=False, distance=NEAREST)
        self.play(scenario, is_following=False, distance=NEAR)

    def test_one_carrier_brings_the_rows_to_a_data_centre(self):
        """The other one pulls only if the first one does not."""
        self.check_delay(
            0.3, is_following=False, distance=NEAR, is_first_carrier=False
        )

    def test_a_passive_node_waits_for_the_followers_of_its_region(self):
        """Rows are sent to another region only if necessary."""
        self.check_delay(0.9, is_following=False, distance=FAR)

    def test_the_store_comes_first(self):
        """A follower pulls from a peer only if the store has no newer rows."""
        self.check_delay(1.0, distance=NEAR)

    def test_pulls_from_another_region_wait_longest(self):
        """Rows cross the link between regions only if necessary."""
        self.check_delay(1.2, distance=FAR)

    def test_the_watch_is_left_alone_while_its_answer_may_be_under_way(self):
        """A restarted watch would transfer the rows once more."""

        async def scenario(peers):
            started_s = anyio.current_time()
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.5)
            self.assertEqual(peers.newer_peers_s, [])
            await asyncio.sleep(1.0)
            (restarted_s,) = peers.newer_peers_s
            self.assertAlmostEqual(restarted_s - started_s, 1.0, delta=0.05)

        self.play(scenario, distance=NEAR)

    def test_heartbeats_without_newer_rows_do_not_delay_a_pull(self):
        """A pull starts despite heartbeats of a peer that is behind, too."""

        async def scenario(peers):
            for _ in range(4):
                peers.deliver_heartbeat("b")
                peers.deliver_heartbeat("c")
                await asyncio.sleep(0.5)
            self.assertEqual(peers.mirror.revisions, (7,))

        self.play(scenario)

    def test_rows_that_the_store_brings_meanwhile_are_not_pulled(self):
        """The delay ends without a pull."""

        async def scenario(peers):
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.5)
            peers.mirror.apply([test_row_mirror.row("config", 7)])
            await asyncio.sleep(1.0)
            self.assertEqual(peers.announced, [])

        self.play(scenario)

    def test_pulled_rows_are_announced_to_other_neighbours(self):
        """Rows spread hop by hop at once, not at the rate of heartbeats."""

        async def scenario(peers):
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.1)
            self.assertEqual(peers.announced, [("a", "c")])

        self.play(scenario, is_following=False, distance=NEAREST)

    def test_rows_announced_during_a_pull_are_pulled_as_well(self):
        """The peer does not need to announce them again."""

        async def scenario(peers):
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.2)
            peers.mirrors["b"].apply([test_row_mirror.row("config", 9)])
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.3)
            self.assertEqual(peers.mirror.revisions, (9,))

        self.play(scenario, is_following=False, distance=NEAR)

    def test_rows_are_pulled_from_neighbours_only(self):
        """A remote peer that does not reply would delay the nearer ones."""

        async def scenario(peers):
            peers.network.cut("a", "b")
            peers.deliver_heartbeat("b")
            await asyncio.sleep(0.5)
            peers.mirrors["c"].apply([test_row_mirror.row("config", 7)])
            peers.deliver_heartbeat("c")
            await asyncio.sleep(0.1)
            self.assertEqual(peers.mirror.revisions, (7,))

        self.play(scenario, is_healthy=False)


class TestRowCodec(unittest.TestCase):
    def test_round_trip(self):
        """Values are restored; repetitive text becomes much shorter."""
        row = test_row_mirror.row("config", 7)._replace(value=b"route " * 9000)
        message = row_codec.pack((row,))
        self.assertLess(len(message.rows[0].value), 1000)
        self.assertEqual(row_codec.unpack(message), (row,))

    def test_rows_of_an_older_release_are_read(self):
        """Rows of older releases are not compressed."""
        row = test_row_mirror.row("config", 7)
        message = rows_message.Rows((row,))
        self.assertEqual(row_codec.unpack(message), (row,))

    def test_malformed_and_huge_values_are_refused(self):
        """A peer can neither crash this node nor exhaust its memory."""
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
