"""Tests of the times at which refused callers come back."""

import random
import unittest

from galenatack.admission import return_times
from tests.fakes import manual_clock


class TestReturnTimes(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.times = return_times.ReturnTimes(
            clock=self.clock, rng=random.Random(1)
        )

    def book(self, *, left_ms=5000.0, priority=1, tenant=""):
        return self.times.book_ms(
            100.0, 10.0, left_ms, priority=priority, tenant=tenant
        )

    def test_a_crowd_does_not_come_back_at_once(self):
        """It would be refused again, all but as many as there are slots."""
        told = [self.book() for _ in range(100)]
        self.assertGreaterEqual(told[0], 100)
        self.assertGreater(told[-1], 1000)
        busiest = max(
            sum(at <= other < at + 50 for other in told) for at in told
        )
        self.assertLessEqual(busiest, 12)

    def test_the_longest_time_is_not_the_same_for_all(self):
        """Beyond the maximum, callers would come back together."""
        told = [self.book() for _ in range(1000)][-100:]
        self.assertLessEqual(max(told), 2000)
        self.assertGreater(len(set(told)), 50)

    def test_urgent_callers_do_not_come_back_behind_others(self):
        for _ in range(100):
            self.book()
        self.assertLess(self.book(priority=0), 200)

    def test_a_tenant_does_not_come_back_behind_the_crowd_of_another(self):
        for _ in range(100):
            self.book(tenant="hot")
        self.assertLess(self.book(tenant="cool"), 200)

    def test_one_that_gives_up_before_takes_no_turn(self):
        """Room would be kept for callers that never come."""
        for _ in range(100):
            self.book(left_ms=90.0)
        self.assertLess(self.book(), 200)

    def test_tenants_of_the_past_are_forgotten(self):
        for number in range(1000):
            self.book(tenant=f"t{number}")
            self.clock.advance(0.01)
        self.assertLess(len(self.times._last_s), 100)
