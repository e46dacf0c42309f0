"""Tests of the seeded virtual-time runner."""

import random
import unittest

import anyio

from galenatack import exceptions
from galenatack.model import row_check
from galenatack.model import transaction
from tests.fakes import memory_table
from tests.fakes import virtual_run


class TestVirtualRun(unittest.TestCase):
    def _trace(self, seed: int) -> list[tuple[int, float]]:
        trace = []
        rng = random.Random(seed)

        async def worker(number: int) -> None:
            for _ in range(5):
                await anyio.sleep(rng.choice([0.0, 1.0]))
                trace.append((number, anyio.current_time()))

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                for number in range(4):
                    tasks.start_soon(worker, number)

        virtual_run.run(main, seed=seed)
        return trace

    def test_same_seed_same_order(self):
        """Two runs with the same seed produce the same events."""
        self.assertEqual(self._trace(7), self._trace(7))

    def test_time_is_virtual(self):
        """An hour of virtual time passes without waiting."""

        async def main() -> float:
            await anyio.sleep(3600)
            return anyio.current_time()

        self.assertGreaterEqual(virtual_run.run(main, seed=1), 3600)


class TestMemoryTable(unittest.TestCase):
    def test_conditional_write(self):
        """A write with a stale revision is rejected and changes nothing."""

        async def main() -> None:
            table = memory_table.MemoryTable()
            insert = transaction.Transaction(
                checks=(row_check.RowCheck("a", 0),), puts=(("a", 1),)
            )
            await table.commit(insert)
            with self.assertRaises(exceptions.TransactionConflictError):
                await table.commit(insert)
            self.assertEqual((await table.get("a")).value, 1)

        virtual_run.run(main, seed=1)
