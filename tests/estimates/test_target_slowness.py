"""Tests of how slow a target is now and permanently."""

import random
import unittest

from galenatack.estimates import elastic_share
from galenatack.estimates import target_slowness
from galenatack.model import target_load

SLOW = target_load.TargetLoad(1, 0, 4, 2.5)


class TestTargetSlowness(unittest.TestCase):
    def setUp(self):
        self.slowness = target_slowness.TargetSlowness()

    def test_a_slow_target_is_seen_within_three_answers(self):
        """It is slow for 0.6 s only."""
        for _ in range(3):
            self.slowness.apply_load(SLOW, 10.0)
        self.assertGreater(self.slowness.reported(10.0), 2.2)

    def test_a_stale_figure_fades(self):
        """Else a target that gets no calls would look slow for ever."""
        for _ in range(10):
            self.slowness.apply_load(SLOW, 10.0)
        self.assertGreater(self.slowness.reported(10.1), 2.0)
        self.assertLess(self.slowness.reported(10.6), 1.25)
        self.assertLess(self.slowness.reported(12.0), 1.01)

    def test_an_absurd_figure_is_bounded(self):
        """It is a divisor of times."""
        for slowdown in (0.0, -3.0, 1e300):
            absurd = SLOW._replace(slowdown=slowdown)
            for _ in range(20):
                self.slowness.apply_load(absurd, 1.0)
            self.assertTrue(0.05 < self.slowness.reported(1.0) < 30.0)

    def test_the_permanent_slowness_is_learned(self):
        """Work takes 0.5 to 1.6 times as long at some targets."""
        rng = random.Random(3)
        for expected in (0.5, 1.6):
            slowness = target_slowness.TargetSlowness()
            for _ in range(300):
                ratio = expected * rng.lognormvariate(-0.1, 0.45)
                slowness.record_ratio(ratio, 1.0)
            self.assertAlmostEqual(
                slowness.permanent(1.0), expected, delta=0.25
            )

    def test_a_slowness_that_no_call_confirms_is_forgotten(self):
        """A target that is avoided for it gets no call that could."""
        for _ in range(300):
            self.slowness.record_ratio(3.0, 1.0)
        self.assertGreater(self.slowness.permanent(2.0), 2.5)
        self.assertLess(self.slowness.permanent(301.0), 1.1)


class TestElasticShare(unittest.TestCase):
    def test_waits_for_other_targets_are_told_from_work(self):
        """A slow machine does not prolong them."""
        rng = random.Random(3)
        for share in (0.2, 1.0):
            elastic = elastic_share.ElasticShare()
            for _ in range(1000):
                slowdown = rng.choice((1.0, 1.0, 2.5))
                usual = 1.0 + share * (slowdown - 1.0)
                ratio = usual * rng.lognormvariate(-0.1, 0.45)
                elastic.record(ratio, slowdown)
            self.assertAlmostEqual(elastic.share, share, delta=0.2)
