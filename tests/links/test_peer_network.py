"""Tests of the peer network over real connections on loopback."""

import unittest

import anyio
import anyio.lowlevel
import cbor2
import websockets.exceptions

from galenatack import exceptions
from galenatack.links import message_codec
from galenatack.links import traffic_count
from galenatack.messages import call
from galenatack.messages import held
from tests.links import loopback

TIMEOUT_S = 5.0


class TestFaults(unittest.TestCase):
    def test_cut_and_heal(self):
        """Partitioned data centres rejoin without seeds."""

        async def scenario(tasks):
            nodes = await loopback.start_joined(
                tasks, "a1-0", "a1-1", "a2-0", "a2-1"
            )
            for node in nodes[:2]:
                node.peers.fault_injector.cut(["a2"])
            await loopback.until(
                lambda: all(len(n.table.live()) == 2 for n in nodes)
            )
            with self.assertRaises(exceptions.PeerError):
                await nodes[0].peers.request(
                    "a2-0", loopback.call_message(), timeout_s=0.2
                )
            neighbours = [n.peers.neighbours() for n in nodes]
            for node in nodes[:2]:
                node.peers.fault_injector.cut([])
            await loopback.until(lambda: loopback.are_joined(nodes))
            return neighbours

        expected = [{"a1-1"}, {"a1-0"}, {"a2-1"}, {"a2-0"}]
        self.assertEqual(loopback.run(scenario), expected)

    def test_no_frame_passes_a_cut(self):
        """A cut at one node drops frames in both directions at once."""

        async def scenario(tasks):
            first, second = await loopback.start_pair(tasks, "a1-0", "a2-0")
            received = []

            async def record_sender(sender, message):
                received.append(sender)

            for node in (first, second):
                node.peers.on(held.Held, record_sender)
            first.peers.fault_injector.cut(["a2"])
            for node in (first, second):
                await node.peers.broadcast(held.Held("x", 1))
            await loopback.until(
                lambda: (
                    not first.peers.neighbours()
                    and not second.peers.neighbours()
                )
            )
            return received

        self.assertEqual(loopback.run(scenario), [])

    def test_no_answer_across_a_cut(self):
        """A Hello from a cut data centre is not answered.

        An answer would make the dialling side consider the link open.
        """

        async def scenario(tasks):
            node = await loopback.Node("a2-0").start(tasks)
            node.peers.fault_injector.cut(["a1"])
            async with loopback.connect(node) as connection:
                await connection.send(loopback.hello_frame())
                with self.assertRaises(websockets.exceptions.ConnectionClosed):
                    await connection.recv()
            return len(node.table.live())

        self.assertEqual(loopback.run(scenario), 1)

    def test_cut_needs_the_setting(self):
        """Links cannot be cut unless the settings allow it."""

        async def scenario(tasks):
            node = loopback.Node("a1-0")
            node.peers.fault_injector._enabled = False
            with self.assertRaises(exceptions.SettingsError):
                node.peers.fault_injector.cut(["a2"])

        loopback.run(scenario)

    def test_delay_keeps_order_and_does_not_add_up(self):
        """Delayed frames arrive in order, each one delay after it was sent."""
        delay_s = 0.1

        async def scenario(tasks):
            first, second = await loopback.start_pair(
                tasks, "a1-0", "b1-0", region_delay_ms=int(delay_s * 1000)
            )
            received = []

            async def record_sender(sender, message):
                received.append((message.held_seq, anyio.current_time()))

            second.peers.on(held.Held, record_sender)
            started_s = anyio.current_time()
            for number in range(30):
                await first.peers.send("b1-0", held.Held("a1-0", number))
            await loopback.until(lambda: len(received) == 30)
            return started_s, received

        started_s, received = loopback.run(scenario)
        self.assertEqual([number for number, _ in received], list(range(30)))
        first_s, last_s = received[0][1], received[-1][1]
        self.assertGreaterEqual(first_s - started_s, delay_s * 0.9)
        self.assertLess(last_s - first_s, first_s - started_s)


class TestTraffic(unittest.TestCase):
    def test_counts(self):
        """Frames are counted by type, direction and region boundary."""

        async def scenario(tasks):
            first, second = await loopback.start_pair(tasks, "a1-0", "b1-0")
            second.peers.on(call.Call, loopback.answer_call)
            for _ in range(3):
                await first.peers.request(
                    "b1-0", loopback.call_message(), timeout_s=TIMEOUT_S
                )
            return first.peers.traffic(), second.peers.traffic()

        sent_traffic, received_traffic = loopback.run(scenario)
        size = len(message_codec.encode(loopback.call_message(), request_id=1))
        expected = traffic_count.TrafficCount(3, 3 * size)
        key = traffic_count.TrafficKey("Call", "sent", True)
        self.assertEqual(sent_traffic[key], expected)
        self.assertEqual(
            received_traffic[key._replace(direction="received")], expected
        )
        self.assertNotIn(key._replace(crosses_region=False), sent_traffic)


class TestReleases(unittest.TestCase):
    def test_a_message_of_an_unknown_type_does_not_end_the_link(self):
        """A node of a newer release may send types that are not known here."""

        async def scenario(tasks):
            first, second = await loopback.start_pair(tasks, "a1-0", "a1-1")
            second.peers.on(call.Call, loopback.answer_call)
            await first.peers.request(
                "a1-1", loopback.call_message(), timeout_s=TIMEOUT_S
            )
            links = first.peers._registry.links()
            for link in links:
                link.post_frame(cbor2.dumps([9_999, 0, 0, ["new"]]), dict)
            await first.peers.request(
                "a1-1", loopback.call_message(), timeout_s=TIMEOUT_S
            )
            return [link.closed.is_set() for link in links]

        self.assertFalse(any(loopback.run(scenario)))


class TestOverlay(unittest.TestCase):
    def test_planned_stop(self):
        """A node that announced its stop is never suspected."""

        async def scenario(tasks):
            nodes = await loopback.start_joined(tasks, "a1-0", "a1-1", "a1-2")
            last = loopback.Node("a1-3", seeds=(nodes[0].record.peer_address,))
            async with anyio.create_task_group() as stopping:
                await last.start(stopping)
                everyone = (*nodes, last)
                await loopback.until(lambda: loopback.are_joined(everyone))
                await loopback.until(lambda: len(last.peers.neighbours()) == 3)
                await last.service.leave()
                stopping.cancel_scope.cancel()
            await loopback.until(lambda: loopback.are_joined(nodes))
            return [
                facts["status"]
                for node in nodes
                for _, facts in node.events.events
                if facts.get("member") == "a1-3"
            ]

        statuses = loopback.run(scenario)
        self.assertEqual(statuses.count("leaving"), 3)
        self.assertNotIn("suspect", statuses)

    def test_several_data_centres(self):
        """Nodes with one seed find each other, and broadcasts reach all."""

        async def scenario(tasks):
            names = [f"{c}-{i}" for c in ("a1", "a2", "b1") for i in (0, 1)]
            nodes = await loopback.start_joined(tasks, *names)
            nodes[1].table.update_own(slots=9)
            await loopback.until(
                lambda: all(n.table.get(names[1]).slots == 9 for n in nodes)
            )
            return [status for n in nodes for status in n.events.events]

        for _, facts in loopback.run(scenario):
            self.assertNotIn(facts["status"], ("suspect", "dead"))
