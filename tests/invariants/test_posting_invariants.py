"""Tests of the invariants of postings."""

import unittest

from galenatack import exceptions
from galenatack.invariants import at_most_once
from galenatack.invariants import not_run
from galenatack.invariants import violations


class TestNotRun(unittest.TestCase):
    def test_dispatched(self):
        """Reporting a dispatched posting as not run is a violation."""
        with self.assertRaises(not_run.NotRunViolationError) as caught:
            not_run.check(attempt="a", dispatches=1, is_start_denied=False)
        self.assertEqual(caught.exception.facts["attempt"], "a")

    def test_start_denied(self):
        """A posting with a denied start may be reported as not run."""
        self.assertTrue(
            not_run.check(attempt="a", dispatches=0, is_start_denied=False)
        )
        self.assertTrue(
            not_run.check(attempt="a", dispatches=1, is_start_denied=True)
        )


class TestAtMostOnce(unittest.TestCase):
    def _check(self, **changes: object) -> bool:
        facts = {"dispatches": 0, "is_closed": False, "is_claimed": True}
        return at_most_once.check(attempt="a", **{**facts, **changes})

    def test_each_fact_counts(self):
        """A second, closed or unclaimed dispatch is a violation."""
        self.assertTrue(self._check())
        for change in (
            {"dispatches": 1},
            {"is_closed": True},
            {"is_claimed": False},
        ):
            with self.assertRaises(at_most_once.AtMostOnceViolationError):
                self._check(**change)

    def test_count_mode(self):
        """In mode `count` the check returns False and counts the violation."""
        self.addCleanup(violations.set_mode, "raise")
        violations.set_mode("count")
        code = at_most_once.AtMostOnceViolationError.code
        before = violations.counts().get(code, 0)
        with self.assertLogs(violations.__name__, "ERROR"):
            self.assertFalse(self._check(dispatches=1))
        self.assertEqual(violations.counts()[code], before + 1)

    def test_unknown_mode(self):
        """An unknown mode is a settings error."""
        with self.assertRaises(exceptions.SettingsError):
            violations.set_mode("ignore")
