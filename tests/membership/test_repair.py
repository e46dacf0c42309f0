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
    """Notes requests; some peers have a link that is kept."""

    def __init__(self, kept):
        self.kept = kept
        self.handlers = {}
        self.asked = []

    def on(self, message_type, handler):
        """Registers a handler."""
        self.handlers[message_type] = handler

    def neighbours(self):
        """Returns the peers with a kept link."""
        return frozenset(self.kept)

    async def broadcast(self, message, *, exclude=None):
        """Sends nothing."""

    async def request(self, node_id, message, *, timeout_s):
        """Answers that nothing is newer."""
        self.asked.append((node_id, message))
        return members.Members(())


class TestRepair(unittest.TestCase):
    def hear(self, *senders, kept, change=None):
        """Hears a digest from each sender; returns who was asked."""

        async def main():
            clock = virtual_loop.LoopClock()
            self.table = member_table.MemberTable(
                own=test_store_follower_election.record("own"), clock=clock
            )
            peers = StubPeers(kept)
            membership_service.MembershipService(
                table=self.table,
                peers=peers,
                clock=clock,
                rng=random.Random(1),
                events=event_list.EventList(),
            )
            changed = member_table.MemberTable(
                own=test_store_follower_election.record("own"), clock=clock
            )
            changed.merge([test_store_follower_election.record("other")])
            beat = heartbeat.Heartbeat(0, changed.digest(), 0)
            async with anyio.create_task_group() as tasks:
                for sender in senders:
                    tasks.start_soon(
                        peers.handlers[heartbeat.Heartbeat], sender, beat
                    )
                await anyio.sleep(0.1)
                if change is not None:
                    self.table.merge([change])
            return peers.asked

        return virtual_loop.run(main)

    def test_only_kept_neighbours_are_asked_for_their_tables(self):
        """Links for calls lead to many nodes; each table is large."""
        asked = self.hear("a", "b", "c", "d", kept={"b"})
        self.assertEqual([node_id for node_id, _ in asked], ["b"])

    def test_a_node_without_neighbours_asks_whoever_it_hears(self):
        """Nobody else can tell it of the others."""
        asked = self.hear("a", kept=set())
        self.assertEqual([node_id for node_id, _ in asked], ["a"])

    def test_a_change_that_arrives_meanwhile_is_not_asked_for(self):
        """The table moves only when a flood did not bring the record."""
        record = test_store_follower_election.record("other")
        self.assertEqual(self.hear("a", kept={"a"}, change=record), [])

    def test_the_question_bears_the_present_digest(self):
        """The peer sends nothing when the tables have become equal."""
        record = test_store_follower_election.record("third")
        ((_, message),) = self.hear("a", kept={"a"}, change=record)
        self.assertEqual(message, pull_members.PullMembers(self.table.digest()))


class TestFlood(unittest.TestCase):
    def test_nodes_that_were_only_found_are_not_flooded(self):
        """Each node of a fleet that starts finds all the others."""

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
            found = test_store_follower_election.record("found")
            met = test_store_follower_election.record("met")._replace(
                incarnation=7
            )
            table.merge([found, met])
            await service.leave()
            return {record.node_id for record in sent}

        self.assertEqual(virtual_loop.run(main), {"own", "met"})
