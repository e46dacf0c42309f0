"""Tests that limits of a profile reach the parts that keep them."""

import unittest

import anyio

from galenatack.model import limits
from tests.fakes import virtual_run
from tests.whole import whole_node
from tests.whole import whole_run

PROFILE_QUEUE_ENTRIES = limits.Limits().queue_entries


class TestLimits(unittest.TestCase):
    def test_queue_of_the_gate(self):
        """Guards against a gate that keeps the queue it started with."""
        self.assertNotEqual(PROFILE_QUEUE_ENTRIES, whole_node.SLOTS)
        run = whole_run.WholeRun(1)

        async def main():
            async with anyio.create_task_group() as tasks:
                await run.begin(tasks)
                found = {
                    node.parts.gate._queue.queue_entries
                    for node in run.world.nodes.values()
                }
                tasks.cancel_scope.cancel()
            return found

        found = virtual_run.run(main, seed=1)
        self.assertEqual(found, {PROFILE_QUEUE_ENTRIES})
