"""Tests of the admission queue of a target, in virtual time."""

import asyncio
import functools
import random
import unittest

from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import service_times
from tests.fakes import virtual_loop

WORK_S = 0.1
TARGET_LATENCY_MS = 400


class Rig:
    """An admission queue whose calls take `WORK_S` at the target."""

    def __init__(self, *, slots):
        times = service_times.ServiceTimes()
        for _ in range(20):
            times.record("r", WORK_S * 1000)
        self.clock = virtual_loop.LoopClock()
        self.queue = admission_queue.AdmissionQueue(
            clock=self.clock, rng=random.Random(1), times=times
        )
        self.queue.slots = slots
        self.served = []
        self.starts_s = []
        self.refused = []

    async def call(
        self, name, *, priority=1, deadline_s=1.5, target_latency_ms=None
    ):
        """Runs one call and records how and when it ended."""
        began_s = self.clock.monotonic_s()
        target_latency_ms = (
            TARGET_LATENCY_MS
            if target_latency_ms is None
            else target_latency_ms
        )
        try:
            await self.queue.acquire(
                name,
                route="r",
                priority=priority,
                deadline_s=began_s + deadline_s,
                target_latency_ms=target_latency_ms,
            )
        except exceptions.CallError as error:
            self.refused.append((name, self.clock.monotonic_s(), error))
            return
        self.starts_s.append(self.clock.monotonic_s())
        try:
            await asyncio.sleep(WORK_S)
        finally:
            self.queue.release(name)
        self.served.append((name, self.clock.monotonic_s() - began_s))


class TestAdmissionQueue(unittest.TestCase):
    def test_twice_the_load_is_served_in_time_up_to_capacity(self):
        """Served calls are in time; the others are refused."""

        async def main():
            rig = Rig(slots=10)
            async with asyncio.TaskGroup() as tasks:
                # 200 calls a second at a target that runs 100.
                for number in range(1000):
                    tasks.create_task(rig.call(f"c{number}"))
                    await asyncio.sleep(0.005)
            return rig

        rig = virtual_loop.run(main)
        self.assertGreaterEqual(len(rig.served), 480)
        in_time = [s for s in rig.served if s[1] * 1000 <= TARGET_LATENCY_MS]
        self.assertGreaterEqual(len(in_time), 0.98 * len(rig.served))
        for _, _, error in rig.refused:
            self.assertIsInstance(error, exceptions.OverloadedError)
            self.assertGreaterEqual(error.retry_after_ms, 60)

    def test_the_urgent_call_goes_first(self):
        """A waiting call with a lower priority number starts first."""

        async def main():
            rig = Rig(slots=1)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(rig.call("first"))
                await asyncio.sleep(0.001)
                tasks.create_task(rig.call("later", priority=2))
                await asyncio.sleep(0.001)
                tasks.create_task(rig.call("urgent", priority=0))
            return [name for name, _ in rig.served]

        self.assertEqual(virtual_loop.run(main), ["first", "urgent", "later"])

    def test_a_short_call_is_not_refused_for_a_queue_behind_it(self):
        """A nested call with a near deadline is admitted before others."""

        async def main():
            rig = Rig(slots=2)
            async with asyncio.TaskGroup() as tasks:
                for number in range(8):
                    tasks.create_task(rig.call(f"long{number}"))
                await asyncio.sleep(0.001)
                tasks.create_task(rig.call("nested", deadline_s=0.3))
            self.assertNotIn("nested", [name for name, _, _ in rig.refused])
            ended = [name for name, _ in rig.served]
            self.assertLessEqual(ended.index("nested"), 3)

        virtual_loop.run(main)

    def test_the_wait_for_the_first_of_many_slots_is_short(self):
        """With twelve slots and 100 ms calls, one is free every 8 ms."""

        async def main():
            rig = Rig(slots=12)
            async with asyncio.TaskGroup() as tasks:
                for number in range(12):
                    tasks.create_task(rig.call(f"c{number}"))
                    await asyncio.sleep(WORK_S / 12)
                    if number == 10:
                        tasks.create_task(rig.call("twelfth"))
                wait_ms = rig.queue.expected_wait_ms(1, 10.0)
                self.assertLess(wait_ms, 20.0)

        virtual_loop.run(main)

    def test_a_nested_call_waits_rather_than_fail_its_parent(self):
        """A wait within the deadline but beyond the target latency is used."""

        async def main():
            rig = Rig(slots=1)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(rig.call("first"))
                await asyncio.sleep(0.001)
                # Waits for 99 ms with a target latency of 100 ms.
                tasks.create_task(
                    rig.call("nested", deadline_s=0.25, target_latency_ms=100)
                )
            self.assertEqual(len(rig.served), 2)

        virtual_loop.run(main)

    def test_a_hopeless_call_is_refused_at_once(self):
        """A call that cannot end by its deadline does not wait."""

        async def main():
            rig = Rig(slots=1)
            async with asyncio.TaskGroup() as tasks:
                for number in range(3):
                    tasks.create_task(rig.call(f"c{number}"))
                await asyncio.sleep(0.001)
                await rig.call("hopeless", deadline_s=0.15)
                self.assertEqual(rig.refused[0][0], "hopeless")
                self.assertLess(rig.refused[0][1], 0.01)

        virtual_loop.run(main)

    def test_a_rate_limit_is_kept_and_used(self):
        """Any 4 s hold at most 1.5 times the limit and 5; the rest is refused.

        Half of the calls are served in time once the limit is lifted again.
        """

        async def main(limit_per_s):
            rig = Rig(slots=12)
            rig.queue.limit_rate(limit_per_s)
            async with asyncio.TaskGroup() as tasks:
                for number in range(1000):
                    tasks.create_task(rig.call(f"c{number}"))
                    await asyncio.sleep(0.01)
            return rig

        for limit_per_s in (0.0, 0.4, 3.0, 14.2, 42.5):
            rig = virtual_loop.run(functools.partial(main, limit_per_s))
            for first_s in rig.starts_s:
                last_s = first_s + 4.0
                count = sum(first_s <= at <= last_s for at in rig.starts_s)
                self.assertLessEqual(count, 1.5 * 4 * limit_per_s + 5)
            self.assertGreaterEqual(len(rig.served), 0.9 * limit_per_s * 10)
            for _, _, error in rig.refused:
                self.assertIsInstance(error, exceptions.OverloadedError)

    def test_a_new_rate_limit_refuses_waiting_calls_that_are_hopeless(self):
        """They are refused at once; the end of the limit frees the others."""

        async def main():
            rig = Rig(slots=1)
            async with asyncio.TaskGroup() as tasks:
                for number in range(4):
                    tasks.create_task(rig.call(f"c{number}"))
                    await asyncio.sleep(0.001)
                rig.queue.limit_rate(6.0)
                await asyncio.sleep(0.001)
                self.assertEqual(rig.queue.queued, 1)
                await asyncio.sleep(WORK_S)
                rig.queue.limit_rate(None)
                await asyncio.sleep(0.001)
                self.assertEqual(rig.queue.running, 1)

        virtual_loop.run(main)

    def test_a_cancelled_call_leaves_the_queue(self):
        """A cancelled call is removed and the next one is admitted."""

        async def main():
            rig = Rig(slots=1)
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(rig.call("first"))
                await asyncio.sleep(0.001)
                tasks.create_task(rig.call("gone"))
                await asyncio.sleep(0.001)
                self.assertTrue(rig.queue.cancel("gone"))
                tasks.create_task(rig.call("next"))
            self.assertEqual([n for n, _ in rig.served], ["first", "next"])
            self.assertEqual((rig.queue.running, rig.queue.queued), (0, 0))

        virtual_loop.run(main)

    def test_a_task_cancelled_during_admission_frees_the_slot(self):
        """A task cancelled just after it was granted a slot releases it."""

        async def main():
            rig = Rig(slots=1)
            first = asyncio.create_task(rig.call("first"))
            await asyncio.sleep(0.001)
            second = asyncio.create_task(rig.call("second"))
            await asyncio.sleep(0.001)
            rig.queue.release("first")
            second.cancel()
            await asyncio.gather(first, second, return_exceptions=True)
            self.assertEqual((rig.queue.running, rig.queue.queued), (0, 0))

        virtual_loop.run(main)
