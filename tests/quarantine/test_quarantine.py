"""Tests of how suspected requests are kept apart."""

import asyncio
import random
import unittest
from unittest import mock

from galenatack import exceptions
from galenatack.model import crash_entry
from galenatack.quarantine import crash_detector
from galenatack.quarantine import crash_ledger
from galenatack.quarantine import crash_reports
from galenatack.quarantine import quarantine
from galenatack.quarantine import request_fingerprint
from tests.fakes import manual_clock
from tests.platform import test_target_headers

REQUEST = test_target_headers.REQUEST._replace(deadline_ms=400)
CRASH = crash_entry.CrashEntry(
    request_fingerprint.of(REQUEST), "1", 0, True, False
)


def make(*suspects):
    """Returns a quarantine that suspects some requests, and its reports."""
    ledger = crash_ledger.CrashLedger(clock=manual_clock.ManualClock())
    ledger.add(
        crash_entry.CrashEntry(
            request_fingerprint.of(item), "0", 0, False, False
        )
        for item in suspects
    )
    peers = mock.Mock(broadcast=mock.AsyncMock())
    reports = crash_reports.CrashReports(
        ledger=ledger, archive=mock.Mock(), peers=peers
    )
    gate = quarantine.Quarantine(
        ledger=ledger, reports=reports, rng=random.Random(1)
    )
    return gate, reports


class TestQuarantine(unittest.IsolatedAsyncioTestCase):
    async def test_suspects_run_one_at_a_time_and_others_beside_them(self):
        suspects = [
            REQUEST._replace(body=b"%d" % n, call_id=f"{n}") for n in (1, 2)
        ]
        gate, _ = make(*suspects)
        async with gate.turn(suspects[0]):
            async with gate.turn(REQUEST):
                pass
            with self.assertRaises(exceptions.OverloadedError):
                async with gate.turn(suspects[1]):
                    self.fail("two suspects at once")
        async with gate.turn(suspects[1]):
            pass

    async def test_calls_that_wait_run_at_once_when_they_are_cleared(self):
        suspects = [REQUEST._replace(call_id=f"{n}") for n in range(3)]
        gate, _ = make(*suspects)

        async def take_turn(call):
            async with gate.turn(call):
                self.assertFalse(gate.runs_as_suspect(call.call_id))

        async with gate.turn(suspects[0]):
            waiting = [asyncio.create_task(take_turn(s)) for s in suspects[1:]]
            await asyncio.sleep(0.01)
            await gate.clear(REQUEST)
            await asyncio.gather(*waiting)

    async def test_calls_that_wait_are_refused_with_their_request(self):
        suspects = [REQUEST._replace(call_id=f"{n}") for n in range(2)]
        gate, reports = make(*suspects)

        async def take_turn():
            async with gate.turn(suspects[1]):
                self.fail("ran after a second crash")

        async with gate.turn(suspects[0]):
            waiting = asyncio.create_task(take_turn())
            await asyncio.sleep(0.01)
            await reports.add((CRASH,))
            with self.assertRaises(exceptions.QuarantinedError):
                await waiting

    async def test_a_call_whose_caller_left_passes_its_turn_on(self):
        suspects = [
            REQUEST._replace(body=b"%d" % n, call_id=f"{n}") for n in range(3)
        ]
        gate, _ = make(*suspects)
        ran = []

        async def take_turn(call):
            async with gate.turn(call):
                ran.append(call.call_id)

        async with gate.turn(suspects[0]):
            tasks = [asyncio.create_task(take_turn(s)) for s in suspects[1:]]
            await asyncio.sleep(0.01)
            self.assertTrue(gate.cancel("1"))
        ended = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertIsInstance(ended[0], exceptions.CancelledCallError)
        self.assertEqual(ran, ["2"])

    async def test_after_two_crashes_one_call_decides_on_those_that_wait(self):
        for is_innocent in (True, False):
            gate, reports = make(REQUEST)
            await reports.add((CRASH,))
            with self.assertRaises(exceptions.QuarantinedError):
                gate.check(REQUEST)
            calls = [
                asyncio.create_task(gate.admit(REQUEST, left_s=1.0))
                for _ in range(50)
            ]
            await asyncio.wait(calls, return_when=asyncio.FIRST_COMPLETED)
            async with gate.turn(REQUEST._replace(is_trial=True)):
                if is_innocent:
                    await gate.clear(REQUEST)
                else:
                    await reports.add((CRASH._replace(crash_id="2"),))
            ends = await asyncio.gather(*calls, return_exceptions=True)
            self.assertIn(True, ends)
            others = [end for end in ends if end is not True]
            self.assertGreater(len(others), 40)
            for end in others:
                if is_innocent:
                    self.assertIs(end, False)
                else:
                    self.assertIsInstance(end, exceptions.QuarantinedError)

    async def test_calls_lost_in_one_crash_are_reported_together(self):
        _, reports = make()
        reports.add = mock.AsyncMock()
        detector = crash_detector.CrashDetector(
            name="n",
            reports=reports,
            is_reachable=mock.AsyncMock(side_effect=[True, False, False]),
        )
        self.assertFalse(await detector.has_crashed(b"0", was_suspect=False))
        reports.add.assert_not_awaited()
        await asyncio.gather(
            *(
                detector.has_crashed(b"%d" % number, was_suspect=False)
                for number in (1, 2)
            )
        )
        # It is the same crash until the target has answered again.
        await detector.has_crashed(b"3", was_suspect=False)
        ids = [
            entry.crash_id
            for call in reports.add.await_args_list
            for entry in call.args[0]
        ]
        self.assertEqual(ids, ["n:1"] * 3)
