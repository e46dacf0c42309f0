"""Tests of rates between two samples of a fleet."""

import unittest

from bench import usage

SENT = ("Heartbeat", "sent", False)
CROSSING = ("Delta", "sent", True)
RECEIVED = ("Delta", "received", True)


def _sample(taken_s, cpu_s, sent_bytes, reads) -> usage.Sample:
    platform = {"reads": reads, "writes": 0, "refused": 0}
    return usage.Sample(taken_s, cpu_s, sent_bytes, platform)


class TestUsage(unittest.TestCase):
    def setUp(self):
        before = _sample(10.0, [1.0, 2.0], {SENT: 100}, 50)
        after = _sample(
            20.0, [1.1, 2.3], {SENT: 500, CROSSING: 200, RECEIVED: 80}, 150
        )
        self.used = usage.between(before, after)

    def test_processor_time_is_a_share_of_a_core(self):
        """Mean and worst node are percentages of one core."""
        self.assertAlmostEqual(self.used.cpu_percent, 2.0)
        self.assertAlmostEqual(self.used.worst_cpu_percent, 3.0)

    def test_bytes_are_those_of_a_mean_node(self):
        """Totals over all nodes are divided by their number."""
        self.assertAlmostEqual(self.used.bytes_per_s[SENT], 20.0)
        self.assertAlmostEqual(self.used.total_bytes_per_s, 34.0)

    def test_crossing_bytes_count_the_sender_only(self):
        """A frame across a region boundary is counted only once."""
        self.assertAlmostEqual(self.used.crossing_bytes_per_s, 20.0)

    def test_platform_reads_are_a_rate(self):
        """Platform reads are divided by the elapsed time."""
        self.assertAlmostEqual(self.used.reads_per_s, 10.0)
