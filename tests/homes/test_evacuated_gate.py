"""Tests of the gates of an evacuated data centre."""

import asyncio
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.app import mesh_callbacks
from galenatack.model import target_answer
from tests.fakes import virtual_loop
from tests.placement import fleet_load
from tests.placement import test_known_conditions
from tests.platform import test_target_headers

SLOTS = 12
WORK_S = 1.0


async def run(_):
    """Answers after a while."""
    await asyncio.sleep(WORK_S)
    return target_answer.TargetAnswer(200, (), b"")


class TestEvacuatedGate(unittest.TestCase):
    def test_waiting_calls_are_refused_at_once_and_running_ones_end(self):
        """The waiting ones have time left to run elsewhere."""

        async def main():
            evacuated = set()
            gate, link = test_known_conditions.restarted_gate(
                call=run, is_evacuated=lambda: bool(evacuated)
            )

            async def call(number):
                answer = await gate.handle(
                    test_target_headers.REQUEST._replace(
                        call_id=f"{number}", deadline_ms=3000
                    )
                )
                ended_s = asyncio.get_running_loop().time()
                return answer.result.failure, ended_s

            tasks = [asyncio.create_task(call(n)) for n in range(SLOTS + 5)]
            await asyncio.sleep(0.5)
            evacuated.add("dc")
            gate.refuse_waiting(lambda: exceptions.EvacuatedError("evacuated"))
            late = await call(99)
            return await asyncio.gather(*tasks), late, link.call.await_count

        ends, late, sent = virtual_loop.run(main)
        self.assertEqual(ends[:SLOTS], [("", WORK_S)] * SLOTS)
        self.assertEqual(ends[SLOTS:], [("evacuated", 0.5)] * 5)
        self.assertEqual((late, sent), (("evacuated", 0.5), SLOTS))

    def test_the_end_of_an_evacuation_puts_the_warmth_in_doubt(self):
        """Idle targets may have turned cold before the load returns."""
        parts = mock.Mock()
        parts.members.own = fleet_load.member("own", data_centre="dc-a")
        callbacks = mesh_callbacks.MeshCallbacks()
        callbacks.connect(parts)
        for place, is_evacuated in (("dc-b", False), ("dc-a", True)):
            callbacks.evacuation_changed(place, is_evacuated)
        parts.warmth.assume.assert_not_called()
        self.assertEqual(parts.gate.refuse_waiting.call_count, 1)
        callbacks.evacuation_changed("dc-a", False)
        self.assertEqual(parts.warmth.assume.call_count, 1)
