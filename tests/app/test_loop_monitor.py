"""Tests of measuring how late the event loop runs its timers."""

import asyncio
import unittest

from galenatack.app import loop_monitor
from galenatack.telemetry import call_stats
from tests.fakes import manual_clock


class LateClock(manual_clock.ManualClock):
    """A clock whose third timer is late by 0.6 s."""

    def __init__(self):
        super().__init__()
        self._timers = 0

    async def sleep_s(self, duration_s):
        """Advances the clock; ends the run after four timers."""
        self._timers += 1
        if self._timers > 4:
            raise asyncio.CancelledError
        self.advance(duration_s + (0.6 if self._timers == 3 else 0.0))


class TestLoopMonitor(unittest.TestCase):
    def test_a_held_event_loop_is_logged_and_in_the_histogram(self):
        """Timers that were in time are in the histogram only."""
        stats = call_stats.CallStats()
        monitor = loop_monitor.LoopMonitor(clock=LateClock(), stats=stats)
        with (
            self.assertLogs(loop_monitor.__name__, "WARNING") as logs,
            self.assertRaises(asyncio.CancelledError),
        ):
            asyncio.run(monitor.run())
        self.assertEqual(len(logs.output), 1)
        self.assertIn("delay_ms=6", logs.output[0])
        samples = dict(line.rsplit(" ", 1) for line in stats.samples())
        name = "galenatack_call_duration"
        label = 'span="loop-delay"'
        self.assertEqual(samples[f"{name}_count{{{label}}}"], "4")
        late = samples[f'{name}_seconds{{{label},quantile="0.999"}}']
        self.assertAlmostEqual(float(late), 0.6, delta=0.02)
