"""Tests of the stand-in target's slots."""

import unittest

import anyio

from standins.target import options
from standins.target import worker
from tests.fakes import virtual_run

OPTIONS = options.TargetOptions(
    service="s", version="v1", slots=1, service_ms=100.0, spread=0.0
)


class TestWorkerCancel(unittest.TestCase):
    def test_cancel_after_the_slot_was_granted(self):
        """Guards against a call that starts after its cancel was confirmed."""

        async def main():
            target = worker.Worker(OPTIONS)
            statuses = {}

            async def run(call_id):
                work = worker.Work(call_id, call_id, "/", 60.0)
                statuses[call_id] = await target.run(work)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(run, "first")
                await anyio.sleep(0.01)
                tasks.start_soon(run, "second")
                await anyio.sleep(0.01)
                # Grants the slot, then cancels before the waiting task resumes.
                target._slots.release()
                confirmed = target.cancel("second")
            return confirmed, statuses["second"], target.ledger.as_json()

        for seed in range(4):
            with self.subTest(seed):
                confirmed, status, ledger = virtual_run.run(main, seed=seed)
                self.assertTrue(confirmed)
                self.assertEqual(status, 503)
                self.assertNotIn("second", ledger["keys"])
