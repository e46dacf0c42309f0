"""Tests of requests under which targets crash, with complete nodes."""

import asyncio
import logging
import unittest

from tests.mesh import crash_run

SECONDS = 10.0


class TestCrashingRequests(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, outcome):
        self.assertGreaterEqual(outcome.crashes, crash_run.TARGETS_ENDED)
        self.assertLessEqual(outcome.late_runs, crash_run.ALLOWED_LATE_RUNS)
        self.assertGreater(outcome.innocent_beside, 0)
        self.assertEqual(outcome.innocent_quarantined, 0)

    def test_a_request_under_which_three_targets_ended_reaches_few_more(self):
        self.check(asyncio.run(crash_run.run(1, SECONDS)))

    def test_nodes_that_restart_keep_it_from_targets_too(self):
        self.check(asyncio.run(crash_run.run(2, SECONDS, restart_nodes=True)))
