"""Tests of who gets the reports of a move."""

import unittest

from galenatack.moves import move_runner
from tests.fakes import member_records


class TestEvaluators(unittest.TestCase):
    def _evaluators(self, own_id, per_data_centre):
        data_centres = {
            f"{name}{number:03}": name
            for name in "abcd"
            for number in range(per_data_centre)
        }
        own = member_records.build(own_id)._replace(
            data_centre=data_centres[own_id]
        )
        return move_runner.evaluators(sorted(data_centres), data_centres, own)

    def test_own_data_centre_has_several(self):
        """A data centre that is cut off still evaluates its own evidence."""
        found = self._evaluators("b009", 11)
        self.assertEqual(
            found, ["a000", "b000", "b001", "b002", "c000", "d000"]
        )

    def test_count_does_not_grow_with_the_service(self):
        """Guards against reports that grow with the square of the nodes."""
        self.assertEqual(
            len(self._evaluators("b009", 11)),
            len(self._evaluators("b009", 100)),
        )

    def test_not_to_itself(self):
        """An evaluator does not report to itself over the links."""
        self.assertNotIn("a000", self._evaluators("a000", 3))

    def test_candidates_evaluate(self):
        """The first of each data centre come first among the drivers."""
        data_centres = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
        order = move_runner.spread_order(["a1", "a2", "b1", "c1"], data_centres)
        self.assertEqual(order, ["a1", "b1", "c1", "a2"])
