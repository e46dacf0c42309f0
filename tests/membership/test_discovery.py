"""Tests of discovering nodes through the store."""

import asyncio
import json
import random
import unittest

from galenatack.membership import discovery
from galenatack.membership import member_table
from galenatack.model import member_status
from galenatack.model import table_row
from standins.store import node_table
from tests.config import test_store_follower_election
from tests.fakes import virtual_loop


class DiscoveringNode:
    """A node that knows other nodes only from the store.

    Args:
        store: The shared store.
        name: Name of the node.
        index: Seed of its jitter.
        up: Names of the nodes to which a link can be opened.
    """

    def __init__(self, store, name, index, *, up):
        clock = virtual_loop.LoopClock()
        self.name = name
        self.is_discovery_reader = False
        self.members = member_table.MemberTable(
            own=test_store_follower_election.record(name), clock=clock
        )
        self.discovery = discovery.Discovery(
            table=node_table.NodeTable(store=store, node_id=name),
            members=self.members,
            clock=clock,
            rng=random.Random(index),
            is_discovery_reader=lambda: self.is_discovery_reader,
            is_linked=lambda: bool(self.found & up - {name}),
            store_era=lambda: store.rows.era,
        )

    @property
    def found(self):
        """Names of the known nodes, including its own."""
        return {record.node_id for record in self.members.live()}


GOOD_ROW = {
    "data_centre": "dc",
    "region": "r",
    "service": "s",
    "peer_address": "127.0.0.1:7600",
}
ODD_ROWS = (
    b"[" * 100_000,
    b'{"peer_address":' * 3_000 + b"1" + b"}" * 3_000,
    b'{"data_centre":1e999}',
    b'{"data_centre":' + b"9" * 5_000 + b"}",
    b"[]",
    *(
        json.dumps(GOOD_ROW | changes).encode()
        for changes in (
            {"peer_address": "127.0.0.1:99999"},
            {"peer_address": "127.0.0.1:0"},
            {"peer_address": "127.0.0.1:" + "9" * 5_000},
            {"peer_address": "127.0.0.1"},
            {"peer_address": 12},
            {"region": {}},
            {"data_centre": float("inf")},
        )
    ),
)


class TestDiscovery(unittest.TestCase):
    def play(self, scenario, count, *, delay_s=0.0, stale=0):
        """Runs a scenario on nodes that start within a delay.

        Args:
            scenario: Coroutine function of the store and the nodes.
            count: Number of nodes.
            delay_s: Time within which they start.
            stale: Number of rows of nodes that are gone.
        """

        async def main():
            store = node_table.SharedStore()
            for index in range(stale):
                key = f"gone{index}"
                value = discovery._encode(
                    test_store_follower_election.record(key)
                )
                store.commit([], [(discovery.TABLE, "", key, value)], [])
            up = {f"n{index}" for index in range(count)}
            nodes = [
                DiscoveringNode(store, f"n{index}", index, up=up)
                for index in range(count)
            ]
            tasks = []
            for index, node in enumerate(nodes):
                tasks.append(
                    asyncio.create_task(
                        self.start(node, delay_s * (index * 7 % count) / count)
                    )
                )
            await scenario(store, nodes)
            for task in tasks:
                task.cancel()

        virtual_loop.run(main)

    def test_nodes_that_start_together_are_connected(self):
        """All of them are reached over the nodes that each one found."""
        for delay_s in (0.0, 0.004, 0.05, 0.3):

            async def scenario(store, nodes):
                await asyncio.sleep(2.0)
                reached = {nodes[0].name}
                for _ in nodes:
                    for node in nodes:
                        if reached & node.found:
                            reached |= node.found
                self.assertEqual(reached, {node.name for node in nodes})
                self.assertLessEqual(sum(store.calls.values()), 3 * len(nodes))

            self.play(scenario, 20, delay_s=delay_s)

    def test_a_restarted_node_makes_one_call(self):
        """Its row is in the table already."""

        async def scenario(store, nodes):
            await asyncio.sleep(2.0)
            before = sum(store.calls.values())
            again = DiscoveringNode(
                store, "n3", 3, up={node.name for node in nodes}
            )
            task = asyncio.create_task(again.discovery.run())
            await asyncio.sleep(60.0)
            task.cancel()
            self.assertEqual(again.found, {node.name for node in nodes})
            self.assertEqual(sum(store.calls.values()) - before, 1)

        self.play(scenario, 20)

    def test_rows_of_nodes_that_are_gone_do_not_separate_new_nodes(self):
        """All nodes of a fleet may be replaced at the same time."""

        async def scenario(store, nodes):
            await asyncio.sleep(2.5)
            names = {node.name for node in nodes}
            for node in nodes:
                self.assertTrue(node.found & names - {node.name})

        self.play(scenario, 5, stale=3)

    def test_only_the_discovery_reader_keeps_reading(self):
        """The number of calls does not grow with the size of a data centre."""

        async def scenario(store, nodes):
            nodes[0].is_discovery_reader = True
            await asyncio.sleep(5.0)
            before = dict(store.calls)
            await asyncio.sleep(120.0)
            callers = {
                node_id
                for (node_id, kind), count in store.calls.items()
                if count > before[node_id, kind]
            }
            self.assertEqual(callers, {nodes[0].name})

        self.play(scenario, 20)

    def test_a_node_without_peers_keeps_reading(self):
        """Nodes are found within two seconds after the store recovers."""

        async def scenario(store, nodes):
            store.faults.is_down = True
            await asyncio.sleep(10.0)
            self.assertEqual(nodes[0].found, {"n0"})
            store.faults.is_down = False
            await asyncio.sleep(2.0)
            self.assertEqual(nodes[0].found, {"n0", "n1"})

        self.play(scenario, 2)

    def test_rows_that_a_restored_store_lost_are_written_again_over_time(self):
        """Each node makes one call, and no second has a quarter of them."""

        async def scenario(store, nodes):
            await asyncio.sleep(5.0)
            store.restore(node_table.row_store.RowStore())
            store.calls.clear()
            most = calls = 0
            for _ in range(12):
                await asyncio.sleep(1.0)
                before, calls = calls, sum(store.calls.values())
                most = max(most, calls - before)
            rows, _ = store.rows.range(discovery.TABLE, "", "", 1000)
            self.assertEqual({row.key for row in rows}, nodes[0].found)
            self.assertLessEqual(calls, len(nodes))
            self.assertLess(most, len(nodes) / 4)

        for size in (12, 74, 195):
            self.play(scenario, size)

    def test_the_discovery_reader_deletes_rows_of_long_dead_nodes(self):
        """The row of a node that died recently is kept."""

        async def scenario(store, nodes):
            nodes[0].is_discovery_reader = True
            await asyncio.sleep(3.0)
            members = nodes[0].members
            members.merge(
                [
                    members.get("n1")._replace(
                        incarnation=9,
                        status=member_status.MemberStatus.DEAD.value,
                    )
                ]
            )
            await asyncio.sleep(60.0)
            self.assertEqual(self.listed(store), {"n0", "n1", "n2"})
            # Two reads, each up to 36 s late, and the time between them.
            await asyncio.sleep(140.0)
            self.assertEqual(self.listed(store), {"n0", "n2"})

        self.play(scenario, 3)

    async def start(self, node, delay_s):
        """Runs the discovery of a node after a delay."""
        await asyncio.sleep(delay_s)
        await node.discovery.run()

    def listed(self, store):
        """Returns the names of the nodes listed in the store."""
        rows, _ = store.rows.range(discovery.TABLE, "", "", 1000)
        return {row.key for row in rows}

    def test_an_odd_row_of_another_writer_does_not_hide_the_others(self):
        """Deeply nested, out of range, or of another type."""
        rows = [
            table_row.TableRow(discovery.TABLE, f"odd{index}", value, index + 1)
            for index, value in enumerate(ODD_ROWS)
        ]
        good = json.dumps(GOOD_ROW).encode()
        rows.append(table_row.TableRow(discovery.TABLE, "good", good, 100))

        async def main():
            node = DiscoveringNode(node_table.SharedStore(), "n0", 0, up=set())
            node.discovery._merge_rows(tuple(rows))
            return node.found

        self.assertEqual(virtual_loop.run(main), {"n0", "good"})
