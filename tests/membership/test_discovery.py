"""Tests of discovering nodes through the store."""

import asyncio
import random
import unittest

from galenatack.membership import discovery
from galenatack.membership import member_table
from galenatack.model import member_status
from standins.store import node_table
from tests.config import test_store_follower_election
from tests.fakes import virtual_loop


class DiscoveringNode:
    """A node that knows other nodes only from the store."""

    def __init__(self, store, name, index):
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
        )

    @property
    def found(self):
        """Names of the known nodes, including its own."""
        return {record.node_id for record in self.members.live()}


class TestDiscovery(unittest.TestCase):
    def play(self, scenario, count):
        async def main():
            store = node_table.SharedStore()
            nodes = [
                DiscoveringNode(store, f"n{index}", index)
                for index in range(count)
            ]
            tasks = [
                asyncio.create_task(node.discovery.run()) for node in nodes
            ]
            await scenario(store, nodes)
            for task in tasks:
                task.cancel()

        virtual_loop.run(main)

    def test_nodes_that_start_together_find_each_other(self):
        """The second read at the latest finds all nodes."""

        async def scenario(store, nodes):
            await asyncio.sleep(2.0)
            names = {node.name for node in nodes}
            for node in nodes:
                self.assertEqual(node.found, names)

        self.play(scenario, 20)

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

    def listed(self, store):
        """Returns the names of the nodes listed in the store."""
        rows, _ = store.rows.range(discovery.TABLE, "", "", 1000)
        return {row.key for row in rows}
