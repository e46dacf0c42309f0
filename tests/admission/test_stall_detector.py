"""Tests of targets that stop answering with all slots in use."""

import asyncio
import random
import unittest

from galenatack import exceptions
from galenatack.admission import admission_queue
from galenatack.admission import service_times
from galenatack.admission import stall_detector
from galenatack.model import admission_terms
from tests.fakes import virtual_loop

SLOTS = 4
TIMEOUT_S = 3.0


def _terms():
    """Returns the terms of a call whose body is not here yet."""
    return admission_terms.AdmissionTerms("c", "r", 1, 99.0, 400.0)


class Rig:
    """A gate before a target that takes 50 ms, or never answers."""

    def __init__(self):
        clock = virtual_loop.LoopClock()
        self.times = service_times.ServiceTimes()
        self.times.record("r", 50.0)
        self.stall = stall_detector.StallDetector(clock=clock)
        self.queue = admission_queue.AdmissionQueue(
            clock=clock,
            rng=random.Random(1),
            times=self.times,
            stall=self.stall,
        )
        self.queue.slots = SLOTS
        self.hangs = False
        self.ends = []
        self.calls = 0

    async def call(self):
        """Runs one call and notes its end."""
        self.calls += 1
        name = f"c{self.calls}"
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        try:
            await self.queue.acquire(
                name,
                route="r",
                priority=1,
                deadline_s=began_s + TIMEOUT_S,
                target_latency_ms=400.0,
            )
        except exceptions.OverloadedError:
            self.ends.append(("refused", loop.time() - began_s))
            return
        if self.hangs:
            await asyncio.sleep(TIMEOUT_S)
            self.ends.append(("timeout", TIMEOUT_S))
        else:
            await asyncio.sleep(0.05)
            self.queue.note_answer()
            self.ends.append(("answer", loop.time() - began_s))
        self.queue.release(name)

    async def send(self, seconds):
        """Sends a call each 20 ms and returns how the calls ended."""
        first = len(self.ends)
        async with asyncio.TaskGroup() as tasks:
            for _ in range(int(seconds * 50)):
                tasks.create_task(self.call())
                await asyncio.sleep(0.02)
        return [end for end, _ in self.ends[first:]]


class TestStallDetector(unittest.TestCase):
    def test_a_target_that_hangs_costs_one_timer(self):
        """Every call that took a freed slot would cost a further one.

        Without the detector, 16 calls run into their time-outs in 12 s.
        """

        async def main():
            rig = Rig()
            await rig.send(1.0)
            rig.hangs = True
            return rig, await rig.send(12.0)

        rig, ends = virtual_loop.run(main)
        self.assertLessEqual(ends.count("timeout"), SLOTS + 4)
        self.assertEqual(rig.stall.stalls, 1)
        waits = [waited for end, waited in rig.ends if end == "refused"]
        at_once = [waited for waited in waits if waited < 0.001]
        self.assertGreater(len(at_once), 0.9 * len(waits))

    def test_an_answer_to_a_test_ends_the_stall(self):
        async def main():
            rig = Rig()
            rig.hangs = True
            await rig.send(2.0)
            self.assertGreater(rig.queue.expected_wait_ms(0, 1e9), 1000)
            rig.hangs = False
            await asyncio.sleep(TIMEOUT_S)
            await rig.call()
            self.assertFalse(rig.stall.is_stalled)
            return await rig.send(1.0)

        self.assertEqual(set(virtual_loop.run(main)), {"answer"})

    def test_a_slow_target_is_not_stalled(self):
        """Calls that take four times as long are served, not refused."""

        async def main():
            rig = Rig()
            running = {f"c{n}": (0.0, 50.0) for n in range(SLOTS)}
            await asyncio.sleep(0.9)
            self.assertFalse(rig.stall.check(running, SLOTS))
            await asyncio.sleep(0.2)
            self.assertFalse(rig.stall.check(running, SLOTS + 1))
            self.assertTrue(rig.stall.check(running, SLOTS))

        virtual_loop.run(main)

    def test_a_call_with_a_long_body_may_test_a_stalled_target(self):
        """A service that gets only uploads would stay stalled for ever."""

        async def main():
            rig = Rig()
            rig.stall.is_stalled = True
            rig.queue.check(_terms(), ready_ms=0.0, max_wait_ms=None)

        virtual_loop.run(main)
