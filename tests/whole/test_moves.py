"""Tests of moves on complete nodes."""

import unittest

import anyio

from galenatack.messages import call
from galenatack.messages import withdraw
from galenatack.model import call_request
from tests.fakes import memory_network
from tests.fakes import virtual_run
from tests.whole import callers
from tests.whole import whole_node
from tests.whole import whole_run

MOVE_MS = 45_000
# Time in which withdrawals and deltas reach all nodes.
SPREAD_S = 2.0
# The outage starts before the driver decides, 25 s before the promised time.
OUTAGE_AFTER_S = 15.0
# Longer than the interval between bursts at the first share.
AFTER_PROMISE_S = 15.0


def _call(call_id: str) -> call.Call:
    return call.Call(
        call_request.CallRequest(
            call_id=call_id,
            service=whole_node.SERVICE,
            route="offers",
            method="POST",
            path="/offers",
            headers=(),
            body=b"",
            deadline_ms=1000,
            posting=True,
            idempotency_key=f"plain-{call_id}",
        ),
        target_incarnation=0,
    )


class TestMoves(unittest.TestCase):
    def _run(self, body, *, seed=1):
        run = whole_run.WholeRun(seed)

        async def main():
            async with anyio.create_task_group() as tasks:
                await run.begin(tasks)
                await body(run.world, tasks)
                tasks.cancel_scope.cancel()

        virtual_run.run(main, seed=seed)
        self.assertEqual(run.world.ledger.wrong, [])

    async def _start(self, world):
        moves = world.nodes["a1-0"].parts.moves
        move = await moves.start(
            whole_node.SERVICE,
            to_version="v2",
            by_ms=world.nodes["a1-0"].parts.clock.wall_ms() + MOVE_MS,
        )
        await anyio.sleep(SPREAD_S)
        return move

    async def _withdraw(self, world, move):
        message = withdraw.Withdraw(
            move.move_id, move.service, "v2", "found", "b1-1", None
        )
        await world.nodes["b1-1"].parts.withdrawals.add(message)
        await anyio.sleep(SPREAD_S)

    def test_gate_of_withdrawn_version(self):
        """Gates of a withdrawn version answer `not-run`, the others serve."""

        async def body(world, tasks):
            del tasks
            move = await self._start(world)
            gate = world.nodes["a1-1"].parts.gate
            first = await gate.handle(_call("before"))
            self.assertEqual(first.outcome, "answer")
            await self._withdraw(world, move)
            second = await gate.handle(_call("after"))
            self.assertEqual(second.outcome, "not-run")
            self.assertNotIn("plain-after", world.ledger.starts)
            other = await world.nodes["a1-0"].parts.gate.handle(_call("old"))
            self.assertEqual(other.outcome, "answer")

        self._run(body)

    def test_withdrawal_that_crosses_done(self):
        """Guards against all gates refusing after `done` meets a withdrawal."""

        async def body(world, tasks):
            del tasks
            move = await self._start(world)
            node = world.nodes["a1-0"].parts
            done = move._replace(phase="done", share_permille=1000)
            await node.acceptor.write_move(done, checks=())
            await self._withdraw(world, move)
            for node_id in ("a1-1", "b1-1"):
                gate = world.nodes[node_id].parts.gate
                result = await gate.handle(_call(node_id))
                self.assertEqual(result.outcome, "answer")

        self._run(body)

    def test_withdrawal_during_a_cut(self):
        """A withdrawal reaches partitioned nodes once the network heals."""

        async def body(world, tasks):
            del tasks
            move = await self._start(world)
            for node_id in world.nodes:
                world.network.cut("a1-0", node_id)
            await anyio.sleep(memory_network.SILENT_S + 0.5)
            isolated = world.nodes["a1-0"].parts
            message = withdraw.Withdraw(
                move.move_id, move.service, "v2", "found", "a1-0", None
            )
            await isolated.withdrawals.add(message)
            # A heartbeat from just before the cut, from a node now unreachable.
            heartbeat = world.nodes["a1-1"].heartbeat()
            await isolated.peers.dispatch("a1-1", heartbeat)
            self.assertIsNone(world.nodes["a1-1"].withdrawn_s())
            world.network.heal()
            await anyio.sleep(SPREAD_S)
            self.assertIsNotNone(world.nodes["a1-1"].withdrawn_s())

        self._run(body)

    def test_no_verdict_at_the_promised_time(self):
        """Without `done` at the promised time the old version serves."""

        async def body(world, tasks):
            traffic = callers.Callers(world, tasks)
            tasks.start_soon(traffic.read)
            move = await self._start(world)
            await anyio.sleep(OUTAGE_AFTER_S)
            world.set_platform(down=True)
            await anyio.sleep(MOVE_MS / 1000 - OUTAGE_AFTER_S)
            before = dict(world.ledger.calls)
            await anyio.sleep(AFTER_PROMISE_S)
            after = dict(world.ledger.calls)
            self.assertGreater(before["v2"], 0)
            self.assertEqual(after["v2"], before["v2"])
            self.assertGreater(after["v1"], before["v1"])
            world.set_platform(down=False)
            await anyio.sleep(12.0)
            verdict = await world.nodes["b1-0"].parts.moves.verdict("prices")
            self.assertEqual(verdict.phase, "taken_back")
            self.assertEqual(verdict.move_id, move.move_id)

        self._run(body)
