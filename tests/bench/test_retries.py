"""Tests of the bound on retries in whole fleets."""

import logging
import unittest

from bench import retries


class TestRetries(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def test_calls_of_retried_runs_stay_within_the_bound_under_overload(self):
        """Refused calls earn no retries for the services further down."""
        outcome = retries.run(1, 12.0)
        self.assertLessEqual(max(outcome.excess.values()), 0, outcome)

    def test_the_bound_holds_while_nodes_join_restart_and_are_cut_off(self):
        """The bound is on the sum over all nodes."""
        outcome = retries.run(2, 12.0, changes=True)
        self.assertLessEqual(max(outcome.excess.values()), 0, outcome)
