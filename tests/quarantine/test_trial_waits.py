"""Tests of calls that wait for the trial of another one."""

import asyncio
import unittest

from galenatack.quarantine import trial_waits


class TestTrialWaits(unittest.IsolatedAsyncioTestCase):
    async def test_calls_that_are_released_time_out_or_leave_are_forgotten(
        self,
    ):
        waits = trial_waits.TrialWaits()
        released, left = (
            asyncio.create_task(waits.wait(name, wait_s=5.0))
            for name in (b"a", b"b")
        )
        self.assertFalse(await waits.wait(b"a", wait_s=0.01))
        self.assertEqual(len(waits), 2)
        waits.release(b"a")
        self.assertTrue(await released)
        left.cancel()
        await asyncio.gather(left, return_exceptions=True)
        self.assertEqual(len(waits), 0)
