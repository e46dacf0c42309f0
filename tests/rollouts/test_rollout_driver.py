"""Tests of rollouts on several nodes in virtual time with a shared store."""

import asyncio
import json
import math
import random
import unittest

import anyio

from galenatack.config import row_mirror
from galenatack.config import table_watcher
from galenatack.membership import member_table
from galenatack.model import rollout_order
from galenatack.model import rollout_phase
from galenatack.moves import withdrawals
from galenatack.platform import rollout_rows
from galenatack.rollouts import evidence_pool
from galenatack.rollouts import rollout_driver
from galenatack.rollouts import rollout_registry
from galenatack.rollouts import trial_share
from galenatack.rollouts import version_chooser
from standins.store import node_table
from tests.fakes import event_list
from tests.fakes import memory_network
from tests.fakes import virtual_loop
from tests.placement import fleet_load

DURATION_MS = 12_000
ORDER = rollout_order.RolloutOrder("s", "v2", DURATION_MS, 5)
NODES = 4
CALLS_PER_S = 80
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
DRAIN_S = 1.0

LOAD_S = 0.25
"""Time over which the rate of a target is taken."""


class Node:
    """The rollout components of one node; odd nodes have targets of v2."""

    def __init__(self, world, index, network, records):
        self.world = world
        store = world.store
        clock = virtual_loop.LoopClock()
        name = f"n{index}"
        self.name = name
        self.version = "v2" if index % 2 else "v1"
        peers = network.join(name)
        own = records[index]
        members = member_table.MemberTable(own=own, clock=clock)
        members.merge([record for record in records if record is not own])
        self.withdrawn = withdrawals.Withdrawals(
            clock=clock, peers=peers, events=event_list.EventList()
        )
        self.registry = rollout_registry.RolloutRegistry(
            clock=clock, withdrawn=self.withdrawn
        )
        self.pool = evidence_pool.EvidencePool(
            members=members, peers=peers, registry=self.registry
        )
        self.chooser = version_chooser.VersionChooser(
            registry=self.registry,
            share=trial_share.TrialShare(trial_share=0.075),
            clock=clock,
        )
        table = node_table.NodeTable(store=store, node_id=name)
        self.driver = rollout_driver.RolloutDriver(
            node_id=name,
            registry=self.registry,
            pool=self.pool,
            withdrawn=self.withdrawn,
            journal=rollout_rows.RolloutRows(table=table),
            refresh=_do_nothing,
            targets=self,
            clock=clock,
        )

    def apply_rows(self, rows):
        """Passes mirrored progress on to the registry."""
        for row in rows:
            if row.is_deleted:
                self.registry.remove_progress(row.key, row.revision)
            else:
                self.registry.update_progress(rollout_rows.decode_progress(row))

    def count(self, service, version):
        """Returns the number of targets, the same for both versions."""
        return self.world.node_count // 2


class RolloutWorld:
    """Nodes, a store, callers and targets of two versions.

    Args:
        is_bad: Returns whether a call to v2 fails, by time and route.
        bad_above_per_s: Rate of one target above which half of the calls to v2
            fail.
        bad_target: A target of v2 that fails half of its calls.
        duration_ms: Duration of the order.
        nodes: Number of nodes; half of them have targets of v2.
    """

    def __init__(
        self,
        *,
        is_bad=lambda now_s, route: False,
        bad_above_per_s=math.inf,
        bad_target=None,
        duration_ms=DURATION_MS,
        nodes=NODES,
    ):
        self.is_bad = is_bad
        self.bad_above_per_s = bad_above_per_s
        self.bad_target = bad_target
        self.duration_ms = duration_ms
        self.node_count = nodes
        self.arrivals_s = {}
        self.peak_per_s = {"v1": 0.0, "v2": 0.0}
        self.store = node_table.SharedStore()
        self.nodes = []
        self.targets = {}
        self.calls = {"v1": 0, "v2": 0}
        self.failed_s = []
        self.new_version_s = []
        self.rng = random.Random(4)

    async def run(self, duration_s, *, during=None):
        """Runs the rollout for some seconds."""
        async with anyio.create_task_group() as tasks:
            network = memory_network.MemoryNetwork(tasks, rng=self.rng)
            records = [
                fleet_load.member(f"n{index}")._replace(
                    version="v2" if index % 2 else "v1"
                )
                for index in range(self.node_count)
            ]
            for record in records:
                self.targets.setdefault(record.version, []).append(record)
            self.nodes = [
                Node(self, index, network, records)
                for index in range(self.node_count)
            ]
            for node in self.nodes:
                node.registry.update_order(
                    ORDER._replace(duration_ms=self.duration_ms)
                )
                tasks.start_soon(node.driver.run)
                tasks.start_soon(self._mirror, node)
                tasks.start_soon(self._call, node)
            if during is not None:
                tasks.start_soon(during, self)
            await asyncio.sleep(duration_s)
            tasks.cancel_scope.cancel()

    async def _mirror(self, node):
        mirror = row_mirror.RowMirror(tables=(rollout_rows.PROGRESS_TABLE,))
        mirror.subscribe(node.apply_rows)
        await table_watcher.TableWatcher(
            name=rollout_rows.PROGRESS_TABLE,
            table=node_table.NodeTable(store=self.store, node_id=node.name),
            mirror=mirror,
            clock=virtual_loop.LoopClock(),
            rng=self.rng,
            should_follow=lambda: True,
            on_change=_do_nothing,
            watch_s=1.0,
        ).run()

    async def _call(self, node):
        gates = {gate.name: gate for gate in self.nodes}
        number = 0
        while True:
            await asyncio.sleep(NODES / CALLS_PER_S)
            number += 1
            allowed, *_ = node.chooser.choose("s", self.targets, is_retry=False)
            target = self.rng.choice(allowed)
            version = target.version
            route = f"r{number % 2}"
            now_s = asyncio.get_running_loop().time()
            arrivals_s = self.arrivals_s.setdefault(target.node_id, [])
            arrivals_s.append(now_s)
            rate = sum(now_s - LOAD_S <= s for s in arrivals_s) / LOAD_S
            self.peak_per_s[version] = max(self.peak_per_s[version], rate)
            is_bad = version == "v2" and (
                self.is_bad(now_s, route)
                or (rate > self.bad_above_per_s and self.rng.random() < 0.5)
                or (
                    target.node_id == self.bad_target
                    and self.rng.random() < 0.5
                )
            )
            self.calls[version] += 1
            if is_bad:
                self.failed_s.append(now_s)
            if version == "v2":
                self.new_version_s.append(now_s)
            gates[target.node_id].pool.record(route, is_bad, 90.0, True)

    @property
    def status(self):
        """Status document that the operator reads; empty if there is none."""
        rows, _ = self.store.rows.range("status", "", "", 10)
        return rows[0].value.decode() if rows else ""

    def exposure(self):
        """Returns the calls of v2 beyond the bound for a faulty version."""
        total = sum(self.calls.values())
        return self.calls["v2"] - EXPOSURE_SHARE * total - EXPOSURE_SLACK


FORWARD = (
    rollout_phase.RolloutPhase.TRIAL,
    rollout_phase.RolloutPhase.SHIFT,
    rollout_phase.RolloutPhase.ALL,
    rollout_phase.RolloutPhase.DONE,
)


class TestRolloutDriver(unittest.TestCase):
    def run_rollout(
        self, duration_s=DURATION_MS / 1000, *, during=None, **options
    ):
        """Runs a rollout and returns the simulated fleet."""
        world = RolloutWorld(**options)

        async def main():
            await world.run(duration_s, during=during)

        virtual_loop.run(main)
        return world

    def test_a_healthy_version_is_done_by_the_deadline(self):
        """The verdict is in the store before the deadline."""
        world = self.run_rollout()
        self.assertIn('"completed"', world.status)

    def test_the_old_version_gets_nothing_before_the_verdict(self):
        """The old targets stop without draining at the verdict."""
        world = self.run_rollout()
        done = [
            n for n in world.nodes if n.registry.settled_version("s") == "v2"
        ]
        self.assertEqual(len(done), NODES)
        for node in world.nodes:
            (group,) = node.chooser.choose("s", world.targets, is_retry=False)
            self.assertEqual({record.version for record in group}, {"v2"})

    def test_a_version_that_fails_half_of_its_calls_is_taken_back(self):
        """The fault is found during the trial, within the exposure bound."""
        rng = random.Random(1)
        world = self.run_rollout(is_bad=lambda now_s, route: rng.random() < 0.5)
        self.assertIn('"rolled_back"', world.status)
        self.assertLess(world.exposure(), 0)
        self.assertLess(world.new_version_s[-1], 6.0)

    def test_a_fault_of_one_route_is_found(self):
        """A fault is found although the other route has none."""
        rng = random.Random(2)
        world = self.run_rollout(
            is_bad=lambda now_s, route: route == "r1" and rng.random() < 0.5
        )
        self.assertIn('"rolled_back"', world.status)
        self.assertLess(world.exposure(), 0)

    def test_a_fault_under_load_is_found_in_the_trial(self):
        """Bursts load a new target as the old ones are loaded.

        Once all calls had moved, withdrawing it came too late for the bound.
        """
        for duration_ms in (DURATION_MS, 15_000):
            world = self.run_rollout(
                duration_ms / 1000,
                duration_ms=duration_ms,
                nodes=8,
                bad_above_per_s=0.6 * CALLS_PER_S * 2 / NODES,
            )
            self.assertIn('"rolled_back"', world.status)
            self.assertLess(world.exposure(), 0)
            phases = {json.loads(world.status)["state"]}
            self.assertEqual(phases, {"rolled_back"})

    def test_a_healthy_version_with_one_failing_target_is_done(self):
        """A fault of one target is not one of its version."""
        world = self.run_rollout(nodes=8, bad_target="n1")
        self.assertIn('"completed"', world.status)

    def test_bursts_do_not_exceed_the_load_of_the_old_targets(self):
        """Callers must not pay for the trial with queues."""
        world = self.run_rollout(7.0, nodes=8)
        self.assertLess(world.peak_per_s["v2"], 1.5 * world.peak_per_s["v1"])

    def test_a_fault_after_all_calls_moved_stays_in_bounds(self):
        """A version that fails in the last phase is withdrawn quickly."""
        rng = random.Random(3)
        world = self.run_rollout(
            is_bad=lambda now_s, route: now_s > 9.2 and rng.random() < 0.5
        )
        self.assertIn('"rolled_back"', world.status)
        self.assertLess(world.exposure(), 0)

    def test_a_dead_driver_is_replaced(self):
        """The next evaluator takes over and the verdict is in time."""

        async def during(world):
            await asyncio.sleep(4.0)
            first = world.nodes[0].pool.evaluators(ORDER)[0]
            node = next(n for n in world.nodes if n.name == first)
            node.driver._write = _do_nothing

        world = self.run_rollout(during=during)
        self.assertIn('"completed"', world.status)

    def test_a_lost_answer_does_not_write_twice(self):
        """The condition lets only one of two writes succeed."""

        async def during(world):
            await asyncio.sleep(8.0)
            world.store.faults.lose_answers = 2
            world.store.faults.late_s = 0.7

        world = self.run_rollout(15.0, during=during)
        self.assertIn('"completed"', world.status)
        phases = [
            json.loads(row.value)["phase"]
            for row in world.store.rows.changes(rollout_rows.PROGRESS_TABLE, 0)
        ]
        # Each phase was written once, including the one with a lost answer.
        expected = [phase.value for phase in FORWARD]
        self.assertEqual(phases, expected)

    def test_a_verdict_that_the_store_lost_is_written_again(self):
        """It is given once, whether the copy has an older phase or no row."""
        for copied_s in (0.1, 5.0, 9.3):

            async def during(world, copied_s=copied_s):
                await asyncio.sleep(copied_s)
                copied = world.store.rows.copy()
                await asyncio.sleep(11.9 - copied_s)
                world.store.restore(copied)

            world = self.run_rollout(16.0, during=during)
            self.assertIn('"completed"', world.status)
            rows = world.store.rows.changes(rollout_rows.PROGRESS_TABLE, 0)
            verdicts = [json.loads(row.value)["phase"] for row in rows].count(
                rollout_phase.RolloutPhase.DONE.value
            )
            self.assertEqual(verdicts, 1)
            for node in world.nodes:
                self.assertEqual(node.registry.settled_version("s"), "v2")

    def test_a_fault_during_an_outage_of_the_store_is_withdrawn(self):
        """Withdrawals need no store; the verdict is written afterwards."""
        rng = random.Random(5)

        async def during(world):
            await asyncio.sleep(2.0)
            world.store.faults.is_down = True
            await asyncio.sleep(8.0)
            self.assertLess(world.new_version_s[-1], 8.0)
            world.store.faults.is_down = False

        world = self.run_rollout(
            14.0,
            during=during,
            is_bad=lambda now_s, route: now_s > 3.0 and rng.random() < 0.5,
        )
        self.assertIn('"rolled_back"', world.status)


async def _do_nothing(*_):
    """Replaces the write of a driver that has stopped working."""
