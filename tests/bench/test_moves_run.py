"""Tests of simulated moves."""

import unittest

from bench import moves_cases
from bench import moves_run


def case(**changes):
    """Returns a case at 160 calls/s that fails under load."""
    base_case = moves_cases.Case(
        "tartu", "fails", "under-load", 0.3, 160.0, 120.0, 0.0, "", 5
    )
    return base_case._replace(**changes)


class TestSimulation(unittest.TestCase):
    def test_fault_under_load_shows_in_bursts(self):
        """Bursts load a target, which 5% of calls spread evenly would not."""
        result = moves_run.run(case())
        self.assertEqual(result.phase, "taken_back")
        self.assertLess(result.withdrawn_s, 60.0)
        self.assertLess(result.fault_calls, 0.03 * result.calls)

    def test_no_call_after_withdrawal(self):
        """No call goes to the new version later than 3 s after detection."""
        result = moves_run.run(case(when="later", onset_s=30.0))
        self.assertGreaterEqual(result.shown_s, 30.0)
        self.assertLessEqual(result.last_new_s - result.shown_s, 3.0)

    def test_same_seed_same_result(self):
        """Two runs of the same case have equal results."""
        self.assertEqual(moves_run.run(case()), moves_run.run(case()))
