"""Nodes that learn of keys from a store and each other, in virtual time."""

import asyncio
import random

import anyio

from galenatack import exceptions
from galenatack.config import row_mirror
from galenatack.config import table_watcher
from galenatack.membership import member_table
from galenatack.tenants import freshness_exchange
from galenatack.tenants import freshness_terms
from galenatack.tenants import key_freshness
from standins.store import node_table
from tests.fakes import member_records
from tests.fakes import memory_network
from tests.fakes import virtual_loop

REVOKE_S = 5.0
TERMS = freshness_terms.of(int(REVOKE_S * 1000))
PASS_ON_S = 0.2
"""Time in which nodes hand a row on to each other."""

TICK_S = 0.02


class Node:
    """One node; the first ones of a region follow the store.

    Attributes:
        version: Version of the configuration in force.
    """

    def __init__(self, fleet, record, *, is_following):
        self.name = record.node_id
        self.version = 0
        self.is_following = is_following
        self._fleet = fleet
        clock = virtual_loop.LoopClock()
        members = member_table.MemberTable(own=record, clock=clock)
        members.merge(fleet.records)
        self.freshness = key_freshness.KeyFreshness(
            clock=clock,
            max_age_s=TERMS.max_age_s,
            own_version=lambda: self.version,
        )
        self.exchange = freshness_exchange.FreshnessExchange(
            members=members,
            peers=fleet.network.join(record.node_id),
            clock=clock,
            rng=random.Random(record.node_id),
            freshness=self.freshness,
            own_version=lambda: self.version,
            terms=TERMS,
        )
        mirror = row_mirror.RowMirror(tables=("op",))
        mirror.subscribe(self._apply)
        self.watcher = table_watcher.TableWatcher(
            name="op",
            table=node_table.NodeTable(store=fleet.store, node_id=self.name),
            mirror=mirror,
            clock=clock,
            rng=random.Random(record.node_id),
            should_follow=lambda: self.is_following,
            on_change=self._changed,
            watch_s=TERMS.watch_s,
            min_interval_s=TERMS.pause_s,
            on_confirmed=self.freshness.confirm,
        )

    async def _changed(self):
        pass

    def _apply(self, rows):
        self.version = max(self.version, *(int(row.value) for row in rows))

    def is_serving(self):
        """Returns whether the node accepts keys."""
        try:
            self.freshness.check()
        except exceptions.KeysOutdatedError:
            return False
        return True

    async def learn(self):
        """Takes the versions of the nodes that it can reach."""
        reached = [
            self._fleet.nodes[name].version
            for name in self._fleet.network.peers[self.name].neighbours()
        ]
        await asyncio.sleep(PASS_ON_S)
        self.version = max(self.version, *reached, 0)


class FreshnessFleet:
    """Ten nodes in each of two regions; two of each follow the store.

    Checks at each tick that no node accepts keys by a configuration that was
    replaced longer ago than the limit for revoking them.
    """

    def __init__(self, tasks, *, delay_s=(0.001, 0.02)):
        self.store = node_table.SharedStore()
        self.network = memory_network.MemoryNetwork(
            tasks, rng=random.Random(1), delay_s=delay_s
        )
        self.written_s = {}
        self.write(1)
        self.records = [
            member_records.build(
                f"{region}{n}", region=region, data_centre=f"{region}-{n % 2}"
            )._replace(follows_store=n < 2)
            for region in "ab"
            for n in range(10)
        ]
        self.nodes = {
            record.node_id: Node(
                self, record, is_following=record.follows_store
            )
            for record in self.records
        }
        for node in self.nodes.values():
            tasks.start_soon(node.exchange.run)
            tasks.start_soon(node.watcher.run)

    def write(self, version):
        """Writes a configuration; the one before is replaced."""
        self.written_s.setdefault(version, asyncio.get_running_loop().time())
        self.store.operator_writes("op", "config", b"%d" % version)

    def serving(self):
        """Returns the names of the nodes that accept keys."""
        return {n.name for n in self.nodes.values() if n.is_serving()}

    async def play(self, duration_s):
        """Lets time pass; returns the nodes that refused at any tick."""
        refused = set()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.gather(*(n.learn() for n in self.nodes.values()))
            for node in self.nodes.values():
                if not node.is_serving():
                    refused.add(node.name)
                    continue
                replaced_s = self.written_s.get(node.version + 1, loop.time())
                assert loop.time() - replaced_s <= REVOKE_S, node.name
            await asyncio.sleep(TICK_S)
        return refused

    def cut_region(self, region):
        """Cuts a region off from the other one."""
        for near in self.nodes:
            for far in self.nodes:
                if near[0] == region != far[0]:
                    self.network.cut(near, far)


def run(scenario, **options):
    """Runs a scenario on a fleet that has settled."""

    async def main():
        async with anyio.create_task_group() as tasks:
            fleet = FreshnessFleet(tasks, **options)
            await fleet.play(2.0)
            assert fleet.serving() == set(fleet.nodes), fleet.serving()
            await scenario(fleet)
            tasks.cancel_scope.cancel()

    virtual_loop.run(main)
