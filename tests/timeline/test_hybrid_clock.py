"""Tests of the hybrid logical clock."""

import unittest

from galenatack.timeline import hybrid_clock
from tests.fakes import manual_clock
from tests.fakes import virtual_clock


class TestHybridClock(unittest.TestCase):
    def setUp(self):
        """Creates a hybrid clock over a manual wall clock."""
        self.wall = manual_clock.ManualClock()
        self.hlc = hybrid_clock.HybridClock(clock=self.wall)

    def test_advances_while_wall_clock_stands(self):
        """Events within one millisecond keep their order."""
        times = [self.hlc.now() for _ in range(100)]
        self.assertEqual(times, sorted(set(times)))
        self.assertEqual(times[0] >> 16, virtual_clock.WALL_START_MS)

    def test_wall_clock_is_set_back(self):
        """If the wall clock is set back, the hybrid clock still advances."""
        before = self.hlc.now()
        self.wall.advance(-5.0)
        self.assertGreater(self.hlc.now(), before)

    def test_observe(self):
        """A timestamp after a message is later than that of the message."""
        theirs = (self.wall.wall_ms() + 900) << 16
        self.hlc.observe(theirs)
        self.assertGreater(self.hlc.now(), theirs)

    def test_time_too_far_ahead_is_ignored(self):
        """A peer with a wrong clock does not advance this node's clock."""
        self.hlc.observe((self.wall.wall_ms() + 86_400_000) << 16)
        self.assertEqual(self.hlc.now() >> 16, self.wall.wall_ms())
