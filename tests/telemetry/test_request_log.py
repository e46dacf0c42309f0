"""Tests of the rate limit on log lines about requests."""

import logging
import unittest

from galenatack.telemetry import request_log
from tests.fakes import manual_clock


class TestRequestLog(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.log = request_log.RequestLog(clock=self.clock)

    def write(self, count, *, seconds, kind="log_failure"):
        """Logs requests at an even rate; returns the lines written."""
        with self.assertLogs(request_log._LOGGER, logging.INFO) as caught:
            logging.getLogger(request_log.__name__).info("event=first")
            for number in range(count):
                getattr(self.log, kind)(f"r{number}", "answered", status=503)
                self.clock.advance(seconds / count)
        return caught.output[1:]

    def test_failures_are_bounded_however_many_there_are(self):
        """An overload of one minute does not fill the log."""
        lines = self.write(60_000, seconds=60.0)
        bound = request_log.BURST_LINES + 60 * request_log.LINES_PER_S
        sampled = 60_000 / request_log.SAMPLE_ONE_IN
        self.assertLess(len(lines), bound + 1.3 * sampled)
        self.assertEqual(self.log.dropped_total, 60_000 - len(lines))

    def test_a_short_overload_is_logged_in_full(self):
        """Every failed request of a short overload is logged."""
        lines = self.write(300, seconds=3.0)
        self.assertEqual(len(lines), 300)

    def test_ordinary_requests_are_sampled_alike_on_every_node(self):
        """Nodes sample the same requests and log them all."""
        lines = self.write(10_000, seconds=10.0, kind="log_decision")
        self.assertLess(len(lines), 2 * 10_000 / request_log.SAMPLE_ONE_IN)
        other = request_log.RequestLog(clock=manual_clock.ManualClock())
        for line in lines:
            name = line.partition("request=")[2].partition(" ")[0]
            self.assertTrue(other.is_sampled(name))

    def test_dropped_lines_are_reported(self):
        """A log line states the number of dropped lines."""
        self.write(1000, seconds=0.1)
        with self.assertLogs(request_log._LOGGER, logging.WARNING) as caught:
            self.log.report_dropped()
        self.assertIn(f"lines={self.log.dropped_total}", caught.output[0])
