"""Tests of what callers get when they ask for more than targets take."""

import unittest

from bench import overload_world

FULL = overload_world.Load(
    seed=1, factor=1.0, is_limited=True, warm_s=2.0, seconds=4.0
)


class TestOverload(unittest.TestCase):
    def test_urgent_calls_are_in_time_while_others_are_too_many(self):
        """They are six tenths of what the targets take."""
        tally = overload_world.play(FULL._replace(factor=3.0))
        self.assertGreater(tally.share_in_time("urgent"), 0.98)

    def test_goodput_does_not_collapse_at_three_times_the_capacity(self):
        full, overloaded = (
            overload_world.play(FULL._replace(factor=factor)).count("in-time")
            for factor in (1.0, 3.0)
        )
        self.assertGreaterEqual(overloaded, 0.95 * full)
