"""Tests of the links that a node opens before calls need them."""

import collections
import random
import unittest

import anyio

from galenatack.membership import member_table
from galenatack.model import member_record
from galenatack.placement import known_conditions
from galenatack.placement import target_placement
from galenatack.traffic import link_warmer
from tests.fakes import virtual_loop


def record(index, *, data_centre="dc", region="region"):
    """Returns the record of a node with a target."""
    return member_record.MemberRecord(
        node_id=f"n{index:02}",
        incarnation=1,
        status="serving",
        data_centre=data_centre,
        region=region,
        service="a",
        version="v1",
        peer_address="x:1",
        call_address="",
        admin_address="",
        slots=6,
        target_id=f"t{index}",
        target_state="ready",
    )


class StubPeers:
    """Records dials; a link is open as soon as one side has dialled."""

    def __init__(self, own_id, fleet):
        self._own_id = own_id
        self._fleet = fleet

    def is_connected(self, node_id):
        """Returns whether either side dialled the other."""
        pair = frozenset((self._own_id, node_id))
        return pair in self._fleet.links

    def open_soon(self, node_id):
        """Opens a link."""
        self._fleet.links[frozenset((self._own_id, node_id))] += 1
        self._fleet.dialled[self._own_id].add(node_id)


class StubFleet:
    """Link warmers of several nodes in one member table."""

    def __init__(self, records):
        clock = virtual_loop.LoopClock()
        self.links = collections.Counter()
        self.dialled = collections.defaultdict(set)
        self.warmers = {}
        for own in records:
            members = member_table.MemberTable(own=own, clock=clock)
            members.merge(records)
            peers = StubPeers(own.node_id, self)
            self.warmers[own.node_id] = link_warmer.LinkWarmer(
                members=members,
                peers=peers,
                placement=target_placement.TargetPlacement(
                    own=own,
                    clock=clock,
                    rng=random.Random(1),
                    is_connected=peers.is_connected,
                    conditions=known_conditions.KnownConditions(),
                ),
                clock=clock,
                rng=random.Random(1),
            )

    async def run(self, seconds):
        """Runs all link warmers for some seconds."""
        async with anyio.create_task_group() as tasks:
            for warmer in self.warmers.values():
                tasks.start_soon(warmer.run)
            await anyio.sleep(seconds)
            tasks.cancel_scope.cancel()


class TestLinkWarmer(unittest.TestCase):
    def run_warmers(self, records, seconds=2.0):
        """Runs the warmers and returns the dials that they made."""

        async def main():
            fleet = StubFleet(records)
            await fleet.run(seconds)
            return fleet

        return virtual_loop.run(main)

    def test_two_nodes_open_one_link(self):
        """Two nodes that start at the same moment do not both dial."""
        dial_counts = self.run_warmers(
            [record(index) for index in range(8)]
        ).links
        self.assertEqual(len(dial_counts), 8 * 7 / 2)
        self.assertEqual(set(dial_counts.values()), {1})

    def test_links_of_large_services_are_bounded_and_spread(self):
        """Links are bounded per node and spread over the targets."""
        dial_counts = self.run_warmers(
            [record(index) for index in range(40)]
        ).links
        linked = collections.Counter(
            node_id for pair in dial_counts for node_id in pair
        )
        bound = 40 * link_warmer.LINKS_PER_SERVICE
        self.assertLessEqual(len(dial_counts), bound)
        self.assertLess(max(linked.values()), 3 * min(linked.values()))

    def test_the_nearest_come_first(self):
        """The order is own data centre, own region, other regions."""
        near = [record(index) for index in range(6)]
        region = [record(index, data_centre="b") for index in range(6, 12)]
        far = [
            record(index, data_centre="c", region="far")
            for index in range(12, 18)
        ]
        # The node with the lowest id dials all of its links itself.
        dialled = self.run_warmers([*near, *region, *far]).dialled["n00"]
        self.assertTrue({item.node_id for item in near[1:]} <= dialled)
        self.assertFalse({item.node_id for item in far} & dialled)

    def test_few_links_to_other_regions_are_kept(self):
        """Their heartbeats cross a link that is billed by volume."""
        near = [record(index) for index in range(3)]
        far = [
            record(index, data_centre="c", region="far")
            for index in range(3, 20)
        ]
        dialled = self.run_warmers([*near, *far]).dialled["n00"]
        far_ids = {item.node_id for item in far}
        self.assertEqual(
            len(far_ids & dialled), link_warmer.LINKS_TO_OTHER_REGIONS
        )
