"""Tests of the retry budget."""

import unittest

from galenatack.traffic import attempt_budget
from tests.fakes import manual_clock

NODES = 12
SLACK = 58
RATIO = 0.2


class TestAttemptBudget(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.budgets = [
            attempt_budget.AttemptBudget(
                clock=self.clock, window_s=10.0, slack=SLACK
            )
            for _ in range(NODES)
        ]
        for budget in self.budgets:
            budget.set_nodes(NODES)

    def test_all_nodes_together_stay_within_the_bound(self):
        """If every call fails, retries stay within the ratio and the slack."""
        retries = 0
        for budget in self.budgets:
            for _ in range(100):
                budget.record_first_attempt("s")
                retries += budget.try_spend("s")
        self.assertLessEqual(retries, RATIO * 100 * NODES + SLACK)
        self.assertGreater(retries, 0.05 * 100 * NODES)

    def test_nested_calls_of_retries_stay_within_the_bound(self):
        """Retries of a service cause nested calls to the next services."""
        nested_per_call = 1.4
        calls = {"outer": 2000, "middle": 2800, "inner": 3920}
        direct = {}
        for service, count in calls.items():
            spent = 0
            for index in range(count):
                budget = self.budgets[index % NODES]
                budget.record_first_attempt(service)
                spent += budget.try_spend(service)
            direct[service] = spent
        brought = 0.0
        for service, count in calls.items():
            arrivals = direct[service] + brought
            self.assertLessEqual(arrivals, RATIO * count + SLACK, service)
            brought = nested_per_call * arrivals

    def test_retries_are_counted_in_a_sliding_window(self):
        """Spent retries are available again after the window, not before."""
        budget = self.budgets[0]
        for _ in range(20):
            budget.record_first_attempt("s")
        while budget.try_spend("s"):
            pass
        self.clock.advance(5.0)
        self.assertFalse(budget.has_remaining("s"))
        self.clock.advance(6.0)
        self.assertTrue(budget.has_remaining("s"))

    def test_services_do_not_share_their_budget(self):
        """A service without failures keeps its retries."""
        budget = self.budgets[0]
        while budget.try_spend("a"):
            pass
        self.assertTrue(budget.has_remaining("b"))
