"""Tests of how nodes find each other through the store."""

import asyncio
import random
import unittest

from galenatack.membership import discovery
from galenatack.membership import member_table
from galenatack.model import member_status
from standins.store import node_table
from tests.config import test_store_follower_election
from tests.fakes import virtual_loop


class Seeker:
    """One node that knows only what the store tells it."""

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
        """Names of the nodes that it knows, itself among them."""
        return {record.node_id for record in self.members.live()}


class TestDiscovery(unittest.TestCase):
    def play(self, scenario, count):
        async def main():
            store = node_table.SharedStore()
            seekers = [
                Seeker(store, f"n{index}", index) for index in range(count)
            ]
            tasks = [
                asyncio.create_task(seeker.discovery.run())
                for seeker in seekers
            ]
            await scenario(store, seekers)
            for task in tasks:
                task.cancel()

        virtual_loop.run(main)

    def test_nodes_that_start_together_find_each_other(self):
        """At the latest with the second look."""

        async def scenario(store, seekers):
            await asyncio.sleep(2.0)
            everyone = {seeker.name for seeker in seekers}
            for seeker in seekers:
                self.assertEqual(seeker.found, everyone)

        self.play(scenario, 20)

    def test_only_the_discovery_reader_goes_on_looking(self):
        """The calls do not grow with the nodes of a data centre."""

        async def scenario(store, seekers):
            seekers[0].is_discovery_reader = True
            await asyncio.sleep(5.0)
            before = dict(store.calls)
            await asyncio.sleep(120.0)
            callers = {
                node_id
                for (node_id, kind), count in store.calls.items()
                if count > before[node_id, kind]
            }
            self.assertEqual(callers, {seekers[0].name})

        self.play(scenario, 20)

    def test_a_node_without_peers_goes_on_looking(self):
        """It is found within two seconds of the store's return."""

        async def scenario(store, seekers):
            store.faults.is_down = True
            await asyncio.sleep(10.0)
            self.assertEqual(seekers[0].found, {"n0"})
            store.faults.is_down = False
            await asyncio.sleep(2.0)
            self.assertEqual(seekers[0].found, {"n0", "n1"})

        self.play(scenario, 2)

    def test_the_discovery_reader_deletes_rows_of_long_dead_nodes(self):
        """A row whose node is dead for a short time stays."""

        async def scenario(store, seekers):
            seekers[0].is_discovery_reader = True
            await asyncio.sleep(3.0)
            members = seekers[0].members
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
            # Two looks, each up to 36 s late, and the time between them.
            await asyncio.sleep(140.0)
            self.assertEqual(self.listed(store), {"n0", "n2"})

        self.play(scenario, 3)

    def listed(self, store):
        """Returns the names in the store."""
        rows, _ = store.rows.range(discovery.TABLE, "", "", 1000)
        return {row.key for row in rows}
