"""Tests of the real clock."""

import time
import unittest
import unittest.mock

from galenatack.app import system_clock


class TestSystemClock(unittest.TestCase):
    def test_suspended_time_counts(self):
        """A permission runs out while the machine is suspended."""
        suspended_s = 100.0

        def read(clock_id):
            return suspended_s * (clock_id == time.CLOCK_BOOTTIME)

        with unittest.mock.patch("time.clock_gettime", read):
            now_s = system_clock.SystemClock().monotonic_s()
        self.assertEqual(now_s, suspended_s)
