"""Tests of the propagation of a changed configuration through nodes."""

import asyncio
import unittest

from galenatack.app import mesh_store
from galenatack.config import store_follower_election
from standins.mesh import operator_config
from tests.mesh import small_fleet

SERVICES = ("a", "b", "a", "b", "a", "b")
IN_FORCE_S = 2.5
"""A change must be in force everywhere within this time."""

UNREACHABLE_STORE_S = 5.0
"""Additional time while some nodes do not reach the store."""

FOLLOWER_PAUSE_S = mesh_store.CONFIG_INTERVAL_SHARE * IN_FORCE_S
"""Time between a change and the next watch of a follower."""


def run(scenario):
    """Runs a scenario on six nodes in two data centres."""

    async def main():
        async with small_fleet.SmallFleet(*SERVICES) as fleet:
            await fleet.until(lambda: is_settled(fleet))
            places = {
                member.settings.data_centre
                for member in fleet.members
                if member.name in followers(fleet)
            }
            assert places == {"dc-0", "dc-1"}, places
            await scenario(fleet)

    asyncio.run(main())


def is_settled(fleet):
    """Returns whether two nodes follow and all nodes know them.

    While nodes start, one may follow, or more than two: a node takes over that
    has no link to a follower yet. That only costs extra reads.
    """
    watching = {
        member.name
        for member in fleet.members
        if any(watcher.is_following for watcher in member.parts.watchers)
    }
    known = {member.parts.election.followers for member in fleet.members}
    return (
        len(watching) == store_follower_election.FOLLOWERS_PER_REGION
        and known == {tuple(sorted(watching))}
        and followers(fleet) == watching
    )


def followers(fleet):
    """Returns the names of the nodes that follow the store."""
    return {
        member.name
        for member in fleet.members
        if all(watcher.is_following for watcher in member.parts.watchers)
    }


async def change(fleet, version):
    """Changes the configuration; returns the time until all run it."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    fleet.store.operator_writes(
        "op", "config", operator_config.config(version, {"a", "b"})
    )
    await fleet.until(
        lambda: all(
            member.parts.config.version == version for member in fleet.members
        )
    )
    return loop.time() - started_s


class TestRows(unittest.TestCase):
    def test_a_change_crosses_from_the_store_once_for_each_follower(self):
        """The other nodes get the change from the follower at once."""

        async def scenario(fleet):
            # The followers pause after their first read as after a change.
            await asyncio.sleep(FOLLOWER_PAUSE_S)
            before = dict(fleet.store.calls)
            self.assertLess(await change(fleet, 3), 0.5)
            # Each follower watches for the next change after its pace delay.
            await asyncio.sleep(1.0)
            callers = {
                node_id
                for (node_id, kind), count in fleet.store.calls.items()
                if kind == "watch" and count > before.get((node_id, kind), 0)
            }
            self.assertEqual(callers, followers(fleet))

        run(scenario)

    def test_a_refused_follower_delays_no_change(self):
        """Another node follows, and the refused one gets the rows from it."""

        async def scenario(fleet):
            fleet.store.faults.refused_nodes |= followers(fleet)
            self.assertLess(await change(fleet, 3), IN_FORCE_S)
            self.assertLess(await change(fleet, 4), IN_FORCE_S)

        run(scenario)

    def test_a_dead_follower_delays_no_change(self):
        """A change right after its crash is in force in time."""

        async def scenario(fleet):
            crashed = followers(fleet)
            for member in fleet.members:
                if member.name in crashed:
                    member.task.cancel()
            remaining = [m for m in fleet.members if m.name not in crashed]
            fleet.members = remaining
            self.assertLess(await change(fleet, 3), IN_FORCE_S)

        run(scenario)

    def test_a_silent_store_delays_no_change(self):
        """One of two followers gets neither changes nor errors."""

        async def scenario(fleet):
            # Its watches get neither an answer nor an error.
            fleet.store.faults.silent_nodes.add(min(followers(fleet)))
            self.assertLess(await change(fleet, 3), IN_FORCE_S)

        run(scenario)

    def test_a_store_silent_to_all_followers_delays_no_change_for_long(self):
        """Their open watches looked like a store without changes."""

        async def scenario(fleet):
            fleet.store.faults.silent_nodes |= followers(fleet)
            self.assertLess(
                await change(fleet, 3), IN_FORCE_S + UNREACHABLE_STORE_S
            )

        run(scenario)
