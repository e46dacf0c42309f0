"""Tests of withdrawals."""

import random
import unittest

import anyio

from galenatack.messages import withdraw
from galenatack.moves import withdrawals
from tests.fakes import event_list
from tests.fakes import memory_network
from tests.fakes import virtual_clock
from tests.fakes import virtual_run


class CountingPeers:
    """Counts broadcasts of a `MemoryPeers`."""

    def __init__(self, peers):
        self._peers = peers
        self.broadcasts = 0
        self.on = peers.on

    async def broadcast(self, message, *, exclude=None):
        """Counts and forwards a broadcast."""
        self.broadcasts += 1
        await self._peers.broadcast(message, exclude=exclude)


class TestWithdrawals(unittest.TestCase):
    def test_each_node_floods_once(self):
        """All nodes have it within 100 ms, and each one floods it once."""

        async def main():
            async with anyio.create_task_group() as tasks:
                network = memory_network.MemoryNetwork(
                    tasks, rng=random.Random(1)
                )
                peers = [
                    CountingPeers(network.join(f"n{number}"))
                    for number in range(6)
                ]
                nodes = [
                    withdrawals.Withdrawals(
                        clock=virtual_clock.VirtualClock(),
                        peers=counting_peers,
                        events=event_list.EventList(),
                    )
                    for counting_peers in peers
                ]
                message = withdraw.Withdraw("m", "s", "v2", "x", "n0", None)
                self.assertTrue(await nodes[0].add(message))
                self.assertTrue(nodes[0].is_withdrawn("s", "v2", "m"))
                await anyio.sleep(0.1)
                for node in nodes:
                    self.assertTrue(node.is_withdrawn("s", "v2", "m"))
                    self.assertFalse(await node.add(message))
                self.assertEqual(
                    [counting_peers.broadcasts for counting_peers in peers],
                    [1] * 6,
                )

        virtual_run.run(main, seed=1)

    def test_withdrawal_belongs_to_its_move(self):
        """A later move may try the same version again."""

        async def main():
            async with anyio.create_task_group() as tasks:
                network = memory_network.MemoryNetwork(
                    tasks, rng=random.Random(1)
                )
                node = withdrawals.Withdrawals(
                    clock=virtual_clock.VirtualClock(),
                    peers=network.join("n"),
                    events=event_list.EventList(),
                )
                await node.add(
                    withdraw.Withdraw("m1", "s", "v2", "x", "n", None)
                )
                self.assertFalse(node.is_withdrawn("s", "v2", "m2"))

        virtual_run.run(main, seed=1)
