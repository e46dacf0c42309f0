"""Tests of the recipients of reports and the ranks of candidates."""

import unittest

from galenatack.moves import move_runner
from tests.fakes import member_records


class TestEvaluators(unittest.TestCase):
    def _evidence_recipients(self, own_id, per_data_centre):
        data_centres = {
            f"{name}{number:03}": name
            for name in "abcd"
            for number in range(per_data_centre)
        }
        own = member_records.build(own_id)._replace(
            data_centre=data_centres[own_id]
        )
        return move_runner.evidence_recipients(
            sorted(data_centres), data_centres, own
        )

    def test_own_data_centre_has_several(self):
        """A data centre that is cut off can still evaluate its evidence."""
        recipients = self._evidence_recipients("b009", 11)
        self.assertEqual(
            recipients, ["a000", "b000", "b001", "b002", "c000", "d000"]
        )

    def test_count_does_not_grow_with_the_service(self):
        """The number of reports is not quadratic in the number of nodes."""
        self.assertEqual(
            len(self._evidence_recipients("b009", 11)),
            len(self._evidence_recipients("b009", 100)),
        )

    def test_not_to_itself(self):
        """An evaluator does not send reports to itself."""
        self.assertNotIn("a000", self._evidence_recipients("a000", 3))

    def test_candidates_span_data_centres(self):
        """The first node of each data centre ranks before all others."""
        data_centres = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
        order = move_runner.rank_across_data_centres(
            ["a1", "a2", "b1", "c1"], data_centres
        )
        self.assertEqual(order, ["a1", "b1", "c1", "a2"])
