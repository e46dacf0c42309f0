"""Tests of the bounds of benchmark figures."""

import math
import unittest

from bench import bounds

BOUND = bounds.Bound("convergence.*.worst_ms", 5000, "in force in 5 s")


def _check(name: str, value: float) -> bounds.Check:
    return bounds.check({name: value}, [BOUND])[0]


class TestBounds(unittest.TestCase):
    def test_value_at_the_bound_is_met(self):
        """A value equal to the bound meets it."""
        self.assertFalse(_check("convergence.12.worst_ms", 5000).is_missed)

    def test_value_above_the_bound_is_missed(self):
        """A value above the bound is a miss."""
        self.assertTrue(_check("convergence.12.worst_ms", 5001).is_missed)

    def test_not_a_number_is_missed(self):
        """A figure that is NaN misses its bound."""
        check = _check("convergence.12.worst_ms", math.nan)
        self.assertTrue(check.is_missed)

    def test_figure_without_bound_is_only_reported(self):
        """A figure that no pattern matches has no bound."""
        self.assertIsNone(_check("convergence.12.median_ms", 9).bound)

    def test_convergence_bound_is_the_required_one(self):
        """The bound of convergence is the required 5 s."""
        figures = {"convergence.48.calm.worst_ms": 1.0}
        check = bounds.check(figures, bounds.load())[0]
        self.assertEqual(check.bound.max, 5000)
