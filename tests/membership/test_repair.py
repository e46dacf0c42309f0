"""Tests of the repair of member tables by digest."""

import random
import unittest

import anyio

from galenatack.membership import member_table
from galenatack.membership import membership_service
from galenatack.messages import heartbeat
from galenatack.messages import members
from galenatack.messages import pull_members
from tests.config import test_store_follower_election
from tests.fakes import event_list
from tests.fakes import virtual_loop


class StubPeers:
    """Records requests; some peers are neighbours."""

    def __init__(self, neighbours):
        self._neighbours = neighbours
        self.handlers = {}
        self.requests = []

    def on(self, message_type, handler):
        """Registers a handler."""
        self.handlers[message_type] = handler

    def neighbours(self):
        """Returns the neighbours."""
        return frozenset(self._neighbours)

    async def broadcast(self, message, *, exclude=None):
        """Sends nothing."""

    async def request(self, node_id, message, *, timeout_s):
        """Records the request and replies without records."""
        self.requests.append((node_id, message))
        return members.Members(())


class TestRepair(unittest.TestCase):
    def receive_heartbeats(
        self, *senders, neighbours, change=None, is_new=False
    ):
        """Delivers a differing digest of each sender.

        Args:
            senders: Peers that send a heartbeat.
            neighbours: Peers with an overlay or carrier link.
            change: Record that arrives after the heartbeats.
            is_new: True if the node has not pulled a table before.

        Returns:
            The requests that followed, as (node id, message).
        """
        self.heartbeats_s = []

        async def main():
            clock = virtual_loop.LoopClock()
            self.table = member_table.MemberTable(
                own=test_store_follower_election.record("own"), clock=clock
            )
            peers = StubPeers(neighbours)
            membership_service.MembershipService(
                table=self.table,
                peers=peers,
                clock=clock,
                rng=random.Random(1),
                events=event_list.EventList(),
                on_heartbeat=self._on_heartbeat,
            )
            changed = member_table.MemberTable(
                own=test_store_follower_election.record("own"), clock=clock
            )
            changed.merge([test_store_follower_election.record("other")])
            message = heartbeat.Heartbeat(0, changed.digest(), 0)
            if not is_new:
                first = next(iter(neighbours), "first")
                await peers.handlers[heartbeat.Heartbeat](first, message)
                await anyio.sleep(membership_service.MIN_PULL_INTERVAL_S)
                peers.requests.clear()
                self.heartbeats_s.clear()
            async with anyio.create_task_group() as tasks:
                for sender in senders:
                    tasks.start_soon(
                        peers.handlers[heartbeat.Heartbeat], sender, message
                    )
                await anyio.sleep(0.1)
                if change is not None:
                    self.table.merge([change])
            return peers.requests

        return virtual_loop.run(main)

    async def _on_heartbeat(self, sender, message):
        del sender, message
        self.heartbeats_s.append(anyio.current_time())

    def test_the_rest_of_a_heartbeat_does_not_wait_for_the_pull(self):
        """Its revisions and roles were once handled up to 5 s late."""
        started_s = []

        async def record_start():
            started_s.append(anyio.current_time())

        virtual_loop.run(record_start)
        self.receive_heartbeats("a", neighbours={"a"}, is_new=True)
        self.assertEqual(self.heartbeats_s, started_s)

    def test_a_new_node_pulls_at_once(self):
        """It knows no members, nor the followers of the store."""
        record = test_store_follower_election.record("other")
        requests = self.receive_heartbeats(
            "a", neighbours={"a"}, change=record, is_new=True
        )
        self.assertEqual([node_id for node_id, _ in requests], ["a"])

    def test_tables_are_pulled_from_neighbours_only(self):
        """A node has links for calls to many nodes, and tables are large."""
        requests = self.receive_heartbeats("a", "b", "c", "d", neighbours={"b"})
        self.assertEqual([node_id for node_id, _ in requests], ["b"])

    def test_a_node_without_neighbours_pulls_from_any_sender(self):
        """It has no other source of member records."""
        requests = self.receive_heartbeats("a", neighbours=set())
        self.assertEqual([node_id for node_id, _ in requests], ["a"])

    def test_a_change_that_arrives_before_the_pull_prevents_it(self):
        """A table is transferred only if flooding did not bring the record."""
        record = test_store_follower_election.record("other")
        requests = self.receive_heartbeats("a", neighbours={"a"}, change=record)
        self.assertEqual(requests, [])

    def test_the_pull_has_the_current_digest(self):
        """The peer sends no records if the tables have become equal."""
        record = test_store_follower_election.record("third")
        ((_, message),) = self.receive_heartbeats(
            "a", neighbours={"a"}, change=record
        )
        self.assertEqual(message, pull_members.PullMembers(self.table.digest()))


class TestFlood(unittest.TestCase):
    def test_unconfirmed_records_are_not_flooded(self):
        """When a fleet starts, each node discovers all others by itself."""

        async def main():
            clock = virtual_loop.LoopClock()
            table = member_table.MemberTable(
                own=test_store_follower_election.record("own")._replace(
                    incarnation=5
                ),
                clock=clock,
            )
            peers = StubPeers({"a"})
            sent = []

            async def broadcast(message, *, exclude=None):
                sent.extend(message.records)

            peers.broadcast = broadcast
            service = membership_service.MembershipService(
                table=table,
                peers=peers,
                clock=clock,
                rng=random.Random(1),
                events=event_list.EventList(),
            )
            unconfirmed = test_store_follower_election.record("unconfirmed")
            confirmed = test_store_follower_election.record(
                "confirmed"
            )._replace(incarnation=7)
            table.merge([unconfirmed, confirmed])
            await service.leave()
            return {record.node_id for record in sent}

        self.assertEqual(virtual_loop.run(main), {"own", "confirmed"})
