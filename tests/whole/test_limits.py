"""Tests that the limits of a profile reach the components."""

import unittest

import anyio

from galenatack.model import limits
from tests.fakes import virtual_run
from tests.whole import whole_node
from tests.whole import whole_run

PROFILE_QUEUE_ENTRIES = limits.Limits().queue_entries


class TestLimits(unittest.TestCase):
    def test_queue_of_the_gate(self):
        """Guards against a gate that keeps its initial queue size."""
        self.assertNotEqual(PROFILE_QUEUE_ENTRIES, whole_node.SLOTS)
        run = whole_run.WholeRun(1)

        async def main():
            async with anyio.create_task_group() as tasks:
                await run.begin(tasks)
                queue_sizes = {
                    node.parts.gate._queue.queue_entries
                    for node in run.world.nodes.values()
                }
                tasks.cancel_scope.cancel()
            return queue_sizes

        queue_sizes = virtual_run.run(main, seed=1)
        self.assertEqual(queue_sizes, {PROFILE_QUEUE_ENTRIES})
