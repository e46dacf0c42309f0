"""Tests of the target's latency histogram."""

import unittest

from galenatack.routing import target_histogram


class TestTargetHistogram(unittest.TestCase):
    def test_samples_and_forwarding(self):
        """Each outcome is counted by route and passed on unchanged."""
        forwarded = []
        histogram = target_histogram.TargetHistogram(
            on_outcome=lambda *outcome: forwarded.append(outcome)
        )
        for number in range(1, 101):
            histogram.record("read", number > 98, float(number), True)
        histogram.record("offers", False, 1e9, False)
        offers, read = histogram.samples()
        self.assertEqual((read.calls, read.errors), (100, 2))
        self.assertAlmostEqual(read.latency_ms[50.0], 50.0, delta=1.0)
        self.assertAlmostEqual(read.latency_ms[99.0], 99.0, delta=1.5)
        self.assertEqual(offers.calls, 1)
        self.assertEqual(len(forwarded), 101)
        self.assertEqual(forwarded[0], ("read", False, 1.0, True))
