"""Tests of complete move sessions on several nodes, with real reports."""

import random
import unittest

import anyio

from galenatack.config import acceptor
from galenatack.messages import evidence
from galenatack.model import member_record
from galenatack.model import move_policy
from galenatack.moves import evidence_counter
from galenatack.moves import move_service
from galenatack.moves import move_session
from galenatack.moves import version_picker
from galenatack.moves import withdrawals
from tests.fakes import event_list
from tests.fakes import memory_network
from tests.fakes import memory_objects
from tests.fakes import memory_table
from tests.fakes import sample_profile
from tests.fakes import virtual_clock
from tests.fakes import virtual_run

VERSIONS = ("v1", "v1", "v2", "v2")
COUNTS = {"v1": 2, "v2": 2}


class Cluster:
    """Four nodes of one service, each with a target."""

    def __init__(self, tasks):
        self.tasks = tasks
        self.clock = virtual_clock.VirtualClock()
        self.network = memory_network.MemoryNetwork(tasks, rng=random.Random(1))
        self.table = memory_table.MemoryTable()
        self.writer = acceptor.Acceptor(
            table=self.table,
            objects=memory_objects.MemoryObjects(),
            clock=self.clock,
            rng=random.Random(4),
            events=event_list.EventList(),
        )
        self.service = move_service.MoveService(
            writer=self.writer, clock=self.clock, rng=random.Random(2)
        )
        self.rng = random.Random(3)
        self.fail_share = 0.0
        self.new_calls_s = []
        self.withdrawn_s = []
        self.counters = []

    async def start(self):
        """Starts the move and a session on each node."""
        await self.writer.publish(sample_profile.body("p", service="s"))
        await self.writer.choose("s", profile="p", version="v1")
        self.move = await self.service.start(
            "s", to_version="v2", by_ms=self.clock.wall_ms() + 120_000
        )
        ids = [f"n{number}" for number in range(len(VERSIONS))]
        self.nodes = [self._node(ids, rank) for rank in range(len(ids))]
        for session, _, _ in self.nodes:
            self.tasks.start_soon(session.run)

    def _node(self, ids, rank):
        events = event_list.EventList(ids[rank])
        peers = self.network.join(ids[rank])
        node_withdrawals = withdrawals.Withdrawals(
            clock=self.clock, peers=peers, events=events
        )
        node_withdrawals.subscribe(
            lambda _: self.withdrawn_s.append(self.clock.monotonic_s())
        )
        own = member_record.MemberRecord(
            ids[rank],
            1,
            "serving",
            "a",
            "r",
            "s",
            VERSIONS[rank],
            "",
            "",
            "",
            8,
        )
        counter = evidence_counter.EvidenceCounter()
        session = move_session.MoveSession(
            counter=counter,
            move=self.move,
            policy=move_policy.MovePolicy(),
            own=own,
            clock=self.clock,
            events=events,
            peers=peers,
            table=self.table,
            writer=self.writer,
            withdrawals=node_withdrawals,
            recipients=lambda: [
                node_id for node_id in ids if node_id != ids[rank]
            ],
            rank=lambda: rank,
            target_count=lambda: 2,
        )

        peers.on(evidence.Evidence, self._receiver(session))
        self.counters.append(counter)
        picker = version_picker.VersionPicker(
            clock=self.clock,
            rng=random.Random(rank),
            withdrawals=node_withdrawals,
        )
        return session, picker, node_withdrawals

    def _receiver(self, session):
        async def receive(sender, report):
            del sender
            session.add(report)

        return receive

    async def traffic(self, until_s):
        """Sends 100 calls/s until `until_s` or the verdict."""
        move = self.move
        while self.clock.monotonic_s() < until_s:
            await self.clock.sleep_s(0.1)
            move = await self.service.verdict("s")
            for _ in range(10):
                self._call(move)
        return move

    def _call(self, move):
        _, picker, _ = self.nodes[self.rng.randrange(4)]
        version = picker.pick(move, COUNTS, route="r")
        gate = VERSIONS.index(version) + self.rng.randrange(2)
        share = 0.002
        if version == "v2":
            share += self.fail_share
            self.new_calls_s.append(self.clock.monotonic_s())
        self.counters[gate].record(
            "r",
            version,
            is_error=self.rng.random() < share,
            latency_ms=20.0 * self.rng.lognormvariate(0.0, 0.4),
            is_warm=True,
        )


class TestMoveSession(unittest.TestCase):
    def _run(self, body, seed):
        async def main():
            async with anyio.create_task_group() as tasks:
                cluster = Cluster(tasks)
                await cluster.start()
                await body(cluster)
                tasks.cancel_scope.cancel()

        virtual_run.run(main, seed=seed)

    def test_good_version_is_done(self):
        """With reports of four gates, a good version reaches `done`."""

        async def body(cluster):
            move = await cluster.traffic(112.0)
            self.assertEqual(move.phase, "done")

        self._run(body, seed=1)

    def test_bad_version_stops_everywhere(self):
        """A withdrawal reaches every node and stops new calls."""

        async def body(cluster):
            await cluster.traffic(20.0)
            cluster.fail_share = 0.5
            move = await cluster.traffic(60.0)
            self.assertEqual(move.phase, "taken_back")
            for _, _, node_withdrawals in cluster.nodes:
                self.assertTrue(
                    node_withdrawals.is_withdrawn("s", "v2", move.move_id)
                )
            last_s = cluster.new_calls_s[-1]
            self.assertLessEqual(last_s - min(cluster.withdrawn_s), 0.2)

        self._run(body, seed=2)
