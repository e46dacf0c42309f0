"""Tests of the election of the node that follows the store."""

import unittest

from galenatack.config import store_follower_election
from galenatack.membership import member_table
from galenatack.model import member_record
from galenatack.model import member_status
from tests.fakes import manual_clock


def record(
    node_id, data_centre="dc", status=member_status.MemberStatus.JOINING
):
    """Returns the record of a discovered node that has not connected yet."""
    return member_record.MemberRecord(
        node_id=node_id,
        incarnation=0,
        status=status.value,
        data_centre=data_centre,
        region="region",
        service="a",
        version="",
        peer_address=f"{node_id}:1",
        call_address="",
        admin_address="",
        slots=0,
    )


HOUR_MS = 3_600_000
FOLLOWERS = store_follower_election.FOLLOWERS_PER_REGION


class ShiftedClock:
    """A clock with another time of day than that of the test."""

    def __init__(self, clock, shift_ms):
        self.monotonic_s = clock.monotonic_s
        self._clock = clock
        self._shift_ms = shift_ms

    def wall_ms(self):
        """Returns the shifted time of day."""
        return self._clock.wall_ms() + self._shift_ms


class Fleet:
    """Nodes of one region that exchange heartbeats and member records.

    Args:
        count: Number of nodes.
        data_centres: Number of data centres; nodes take turns.
        links: Number of nodes on each side to which a node is linked.
        shifts_ms: Differences of the nodes' clocks; nodes take turns.
    """

    def __init__(self, count, *, data_centres=1, links=1_000, shifts_ms=(0,)):
        self.clock = manual_clock.ManualClock()
        self.shifts_ms = shifts_ms
        self.links = links
        names = [f"n{index}" for index in range(count)]
        self.data_centres = {
            name: f"dc{index % data_centres}"
            for index, name in enumerate(names)
        }
        self.tables = {}
        self.elections = {}
        self.names = names
        self.is_up = dict.fromkeys(names, True)
        self.is_store_healthy = dict.fromkeys(names, True)
        self.is_connected = dict.fromkeys(names, True)
        for name in names:
            self.start(name)
        self.following = set()

    def start(self, name):
        """Starts a node, or starts it again."""
        own = record(name, self.data_centres[name])
        table = member_table.MemberTable(own=own, clock=self.clock)
        table.merge(
            record(other, self.data_centres[other])
            for other in self.names
            if other != name
        )
        index = self.names.index(name)
        shift_ms = self.shifts_ms[index % len(self.shifts_ms)]
        self.tables[name] = table
        self.elections[name] = store_follower_election.StoreFollowerElection(
            members=table, clock=ShiftedClock(self.clock, shift_ms)
        )
        self.is_up[name] = True

    def kill(self, *names):
        """Kills nodes; the members learn of it at once by broken links."""
        for name in names:
            self.is_up[name] = False
            dead = self.tables[name].own._replace(
                status=member_status.MemberStatus.SUSPECT.value
            )
            for other in self.names:
                if other != name:
                    self.tables[other].merge([dead])

    def run(self, seconds):
        """Advances the clock; heartbeats are sent each second."""
        for tick in range(int(seconds * 10)):
            self.clock.advance(0.1)
            before = self.following
            self.following = {
                name
                for name, election in self.elections.items()
                if self.is_up[name] and election.should_follow()
            }
            if tick % 10 == 0 or self.following != before:
                self.send_heartbeats()
                self.send_records()

    def send_heartbeats(self):
        """Delivers the heartbeats of all nodes to the linked ones."""
        count = len(self.names)
        for index, name in enumerate(self.names):
            if not self.is_up[name] or not self.is_connected[name]:
                continue
            is_following = self._claims(name)
            for other_index, other in enumerate(self.names):
                distance = abs(index - other_index)
                if 0 < min(distance, count - distance) <= self.links:
                    self.elections[other].record_heartbeat(
                        name, is_following=is_following
                    )

    def send_records(self):
        """Delivers changed member records to all nodes."""
        for name in self.names:
            table = self.tables[name]
            if not self.is_up[name] or not self.is_connected[name]:
                continue
            if table.own.follows_store != self._claims(name):
                table.update_own(follows_store=self._claims(name))
            for other in self.names:
                self.tables[other].merge([table.own])

    def _claims(self, name):
        return name in self.following and self.is_store_healthy[name]


class TestStoreFollowerElection(unittest.TestCase):
    def test_two_nodes_of_a_region_follow(self):
        """The other nodes get their rows from them."""
        fleet = Fleet(17, data_centres=4)
        fleet.run(3.0)
        self.assertEqual(len(fleet.following), FOLLOWERS)

    def test_they_are_in_different_data_centres(self):
        """One data centre may lose its way to the store."""
        for data_centres in range(2, 6):
            fleet = Fleet(20, data_centres=data_centres)
            fleet.run(3.0)
            places = {fleet.data_centres[name] for name in fleet.following}
            self.assertEqual(len(places), FOLLOWERS)

    def test_followers_of_one_data_centre_are_spread_again(self):
        """The others may have been away when they were elected."""
        fleet = Fleet(20, data_centres=4)
        fleet.run(0.1)
        only = [n for n in fleet.names if fleet.data_centres[n] == "dc0"]
        fleet.kill(*(set(fleet.names) - set(only)))
        fleet.run(3.0)
        self.assertEqual(len(fleet.following), FOLLOWERS)
        self.assertLessEqual(fleet.following, set(only))
        for name in set(fleet.names) - set(only):
            fleet.start(name)
            fleet.tables[name].update_own(incarnation=5)
        fleet.run(4.0)
        places = {fleet.data_centres[name] for name in fleet.following}
        self.assertEqual((len(fleet.following), len(places)), (2, 2))

    def test_nodes_that_are_not_linked_to_a_follower_stay_passive(self):
        """In a large fleet most nodes know the followers by their records."""
        fleet = Fleet(120, data_centres=4, links=3)
        fleet.run(30.0)
        self.assertEqual(len(fleet.following), FOLLOWERS)

    def test_few_nodes_read_while_a_large_fleet_starts(self):
        """Each one reads whole tables from the store."""
        fleet = Fleet(120, data_centres=4, links=3)
        seen = set()
        for _ in range(30):
            fleet.run(0.1)
            seen |= fleet.following
        self.assertLessEqual(len(seen), 2 * FOLLOWERS)

    def test_the_next_nodes_take_over_and_stay_elected(self):
        """A restarted node does not take over from a healthy follower."""
        fleet = Fleet(17, data_centres=4)
        fleet.run(3.0)
        first = set(fleet.following)
        fleet.kill(*first)
        fleet.run(0.3)
        self.assertEqual(len(fleet.following), FOLLOWERS)
        fleet.run(4.0)
        self.assertEqual(len(fleet.following), FOLLOWERS)
        second = set(fleet.following)
        for name in first:
            fleet.start(name)
        fleet.run(2.5)
        self.assertEqual(fleet.following, second)

    def test_a_frozen_follower_is_replaced(self):
        """Its linked nodes notice its silence before the member table does."""
        fleet = Fleet(9, data_centres=3)
        fleet.run(3.0)
        frozen = min(fleet.following)
        fleet.is_up[frozen] = False
        fleet.run(2.2)
        self.assertEqual(len(fleet.following), FOLLOWERS)

    def test_clocks_that_differ_agree_on_the_followers(self):
        """The ranking does not depend on the time of day.

        A full hour lies between the clocks of the nodes.
        """
        for shift_ms in (2_000, 30_000):
            for hour in range(8):
                fleet = Fleet(17, shifts_ms=(0, shift_ms))
                to_hour_ms = HOUR_MS - fleet.clock.wall_ms() % HOUR_MS
                advance_ms = to_hour_ms + hour * HOUR_MS - shift_ms / 2
                fleet.clock.advance(advance_ms / 1000)
                for name in fleet.names:
                    fleet.start(name)
                fleet.run(0.4)
                self.assertEqual(len(fleet.following), FOLLOWERS, shift_ms)

    def test_a_paused_node_waits_for_heartbeats_before_it_takes_over(self):
        """After a pause of its own, missing heartbeats prove nothing."""
        fleet = Fleet(4)
        fleet.run(3.0)
        first = set(fleet.following)
        fleet.clock.advance(3.0)
        for name in fleet.names:
            if name not in first:
                self.assertFalse(fleet.elections[name].should_follow(), name)
        fleet.run(2.0)
        self.assertEqual(fleet.following, first)

    def test_surplus_followers_stop(self):
        """Two remain after a partition within a region."""
        fleet = Fleet(5)
        fleet.run(3.0)
        first = set(fleet.following)
        for name in first:
            fleet.is_connected[name] = False
            gone = fleet.tables[name].own._replace(
                status=member_status.MemberStatus.SUSPECT.value
            )
            for other in set(fleet.names) - first:
                fleet.tables[other].merge([gone])
        fleet.run(4.0)
        self.assertEqual(len(fleet.following), 2 * FOLLOWERS)
        for name in first:
            fleet.is_connected[name] = True
            fleet.tables[name].update_own(
                incarnation=fleet.tables[name].own.incarnation + 1
            )
        fleet.run(2.5)
        self.assertEqual(fleet.following, first)

    def test_a_follower_refused_by_the_store_is_replaced(self):
        """It keeps trying while another node follows."""
        fleet = Fleet(4)
        fleet.run(3.0)
        refused = min(fleet.following)
        fleet.is_store_healthy[refused] = False
        fleet.run(4.0)
        self.assertIn(refused, fleet.following)
        self.assertEqual(len(fleet.following), FOLLOWERS + 1)
        fleet.is_store_healthy[refused] = True
        fleet.run(4.0)
        self.assertEqual(len(fleet.following), FOLLOWERS)

    def test_more_nodes_try_while_the_store_refuses_all(self):
        """Some node that the store serves is found, without a stampede."""
        fleet = Fleet(60, data_centres=4)
        fleet.is_store_healthy = dict.fromkeys(fleet.is_store_healthy, False)
        fleet.run(4.0)
        self.assertGreaterEqual(len(fleet.following), 8)
        self.assertLessEqual(len(fleet.following), 16)

    def test_a_lone_node_follows_after_a_short_delay(self):
        """The delay lets peers connect and send their rows first."""
        fleet = Fleet(1)
        fleet.run(store_follower_election.START_DELAY_S - 0.1)
        self.assertEqual(fleet.following, set())
        fleet.run(0.2)
        self.assertEqual(len(fleet.following), 1)

    def test_nodes_of_other_regions_do_not_count(self):
        """Each region has its own followers."""
        fleet = Fleet(1)
        (election,) = fleet.elections.values()
        (table,) = fleet.tables.values()
        for index in range(5):
            far = record(f"far{index}")._replace(
                region="far", follows_store=True, incarnation=1
            )
            table.merge([far])
            election.record_heartbeat(f"far{index}", is_following=True)
        fleet.run(1.0)
        self.assertEqual(len(fleet.following), 1)
