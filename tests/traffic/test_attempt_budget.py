"""Tests of the retry budget and of the share of retries among runs."""

import unittest

from galenatack.admission import retried_runs
from galenatack.admission import retry_slack
from galenatack.model import call_request
from galenatack.model import retry_bounds
from galenatack.traffic import attempt_budget
from tests.fakes import manual_clock

NODES = 12
SLACK = 58
RATIO = 0.2
BOUNDS = retry_bounds.RetryBounds(window_s=10.0, ratio=RATIO, slack=SLACK)
CALL = call_request.CallRequest("c", "s", "r", "GET", "/", (), b"", 1, False)


class TestAttemptBudget(unittest.TestCase):
    def setUp(self):
        self.clock = manual_clock.ManualClock()
        self.restart_nodes(known=NODES)
        self.clock.advance(20.0)

    def restart_nodes(self, *, known):
        self.slacks = [self.make_slack(known) for _ in range(NODES)]
        self.budgets = [self.make_budget(slack) for slack in self.slacks]

    def make_slack(self, known):
        slack = retry_slack.RetrySlack(clock=self.clock, bounds=BOUNDS)
        slack.set_nodes(known)
        return slack

    def make_budget(self, slack):
        return attempt_budget.AttemptBudget(clock=self.clock, slack=slack)

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
        """At each of nine levels, if most calls of the first one are refused.

        Each run calls the next service 1.4 times, and each call that runs is
        retried if the budget and the target allow it.
        """
        asked, run, descendants = 24_000, 2_000, 0.0
        retry_share = 0.0
        for level in range(9):
            service = f"level-{level}"
            runs = retried_runs.RetriedRuns(
                clock=self.clock, slack=self.make_slack(NODES)
            )
            retries = 0
            for index in range(asked):
                budget = self.budgets[index % NODES]
                budget.record_first_attempt(service, retry_share=retry_share)
                if index >= run:
                    continue
                first = CALL._replace(retry_share=retry_share)
                runs.start(first)
                runs.end(first, has_run=True)
                if runs.admits_retry() and budget.try_spend(service):
                    retry = CALL._replace(is_retry=True)
                    runs.start(retry)
                    runs.end(retry, has_run=True)
                    retries += 1
            self.assertLessEqual(
                retries + descendants, RATIO * asked + SLACK, service
            )
            share = (retries + descendants) / (run + retries)
            descendants = 1.4 * (retries + descendants)
            asked = run = int(1.4 * (run + retries))
            retry_share = share

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

    def spend_all(self):
        """Returns how many retries all nodes spend until none is left."""
        spent = 0
        for budget in self.budgets:
            while budget.try_spend("s"):
                spent += 1
        return spent

    def test_nodes_that_restart_again_and_again_stay_within_the_slack(self):
        """Each run forgets what the one before spent, and knows one peer."""
        spent = 0
        for _ in range(4):
            self.restart_nodes(known=2)
            spent += self.spend_all()
            self.clock.advance(2.0)
            spent += self.spend_all()
        self.assertLessEqual(spent, SLACK)

    def test_nodes_that_are_cut_off_stay_within_the_slack(self):
        """Each pair of nodes takes all others for dead."""
        for slack in self.slacks:
            slack.set_nodes(2)
        self.assertLessEqual(self.spend_all(), SLACK)
