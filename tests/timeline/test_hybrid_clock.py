"""Tests of the hybrid logical clock."""

import unittest

from galenatack.timeline import hybrid_clock
from tests.fakes import manual_clock
from tests.fakes import virtual_clock


class TestHybridClock(unittest.TestCase):
    def setUp(self):
        """Makes a clock on a wall clock that the test sets."""
        self.wall = manual_clock.ManualClock()
        self.hlc = hybrid_clock.HybridClock(clock=self.wall)

    def test_grows_while_wall_stands(self):
        """Events of one millisecond keep their order."""
        times = [self.hlc.now() for _ in range(100)]
        self.assertEqual(times, sorted(set(times)))
        self.assertEqual(times[0] >> 16, virtual_clock.WALL_START_MS)

    def test_wall_goes_back(self):
        """A wall clock that is set back does not set the time back."""
        before = self.hlc.now()
        self.wall.advance(-5.0)
        self.assertGreater(self.hlc.now(), before)

    def test_observe(self):
        """What follows a message is later than the message."""
        theirs = (self.wall.wall_ms() + 900) << 16
        self.hlc.observe(theirs)
        self.assertGreater(self.hlc.now(), theirs)

    def test_absurd_time_is_not_followed(self):
        """One peer with a wrong clock does not move all time lines."""
        self.hlc.observe((self.wall.wall_ms() + 86_400_000) << 16)
        self.assertEqual(self.hlc.now() >> 16, self.wall.wall_ms())
