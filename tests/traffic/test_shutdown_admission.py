"""Tests of the decision which requests a node takes while it stops."""

import unittest

from galenatack import exceptions
from galenatack.app import shutdown_schedule
from galenatack.traffic import shutdown_admission
from tests.fakes import manual_clock


class TestShutdownAdmission(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.admission = shutdown_admission.ShutdownAdmission(clock=self.clock)

    def takes(self, timeout_s):
        """Returns whether a request with this time limit is taken now."""
        try:
            self.admission.check(self.clock.now_s + timeout_s)
        except exceptions.LeavingError:
            return False
        return True

    def test_only_requests_that_end_in_time_are_taken_late_in_a_stop(self):
        """Whatever is taken has ended when the calls are cut."""
        for grace_s in (1.0, 2.0, 6.0, 10.0):
            self.setUp()
            self.assertTrue(self.takes(60.0))
            schedule = shutdown_schedule.make(grace_s)
            self.assertEqual(sorted(schedule), list(schedule))
            self.assertLess(schedule.calls_end_s, grace_s)
            self.admission.begin(schedule.calls_end_s)
            # Callers are not elsewhere yet.
            self.assertTrue(self.takes(60.0))
            self.assertEqual(self.admission.left_s(60.0), schedule.calls_end_s)
            self.clock.advance(schedule.callers_drain_s)
            self.admission.require_end_in_time()
            left_s = schedule.calls_end_s - schedule.callers_drain_s
            self.assertFalse(self.takes(left_s))
            margin_s = shutdown_admission.ANSWER_MARGIN_S
            self.assertTrue(self.takes(left_s - margin_s - 0.01))
            self.clock.advance(left_s)
            self.assertFalse(self.takes(0.01))
