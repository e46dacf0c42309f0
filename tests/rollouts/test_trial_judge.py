"""Tests of the judgement on a version on trial."""

import random
import unittest

from galenatack.model import route_evidence
from galenatack.moves import latency_buckets
from galenatack.rollouts import trial_judge


def evidence(route, version, *, calls, errors=0, times_ms=None):
    """Returns the outcomes of one route at one gate."""
    buckets = {}
    for time_ms in times_ms or [90.0] * calls:
        index = latency_buckets.index_of(time_ms)
        buckets[index] = buckets.get(index, 0) + 1
    return route_evidence.RouteEvidence(
        route, version, calls, errors, calls, tuple(sorted(buckets.items()))
    )


class TestTrialJudge(unittest.TestCase):
    def test_a_version_that_fails_half_of_its_calls_is_found_by_ten(self):
        """Five failures of ten are far beyond the old version's share."""
        found = trial_judge.fault(
            [
                evidence("r", "v1", calls=500, errors=3),
                evidence("r", "v2", calls=10, errors=5),
            ],
            "v2",
        )
        self.assertIn("5 of 10", found)

    def test_trouble_while_only_the_new_version_has_calls_is_no_fault(self):
        """The figures of a sound version that was taken back."""
        found = trial_judge.fault(
            [
                evidence("r", "v1", calls=3289, errors=59),
                evidence("r", "v2", calls=331, errors=45),
            ],
            "v2",
            is_alone=True,
        )
        self.assertIsNone(found)

    def test_a_version_that_fails_a_third_of_its_calls_is_found(self):
        """It takes more calls, still far fewer than its share."""
        found = trial_judge.fault(
            [
                evidence("r", "v1", calls=500, errors=3),
                evidence("r", "v2", calls=90, errors=30),
            ],
            "v2",
            is_alone=True,
        )
        self.assertIn("30 of 90", found)

    def test_a_fault_on_one_route_is_found_among_sound_ones(self):
        """Each route is judged by itself."""
        found = trial_judge.fault(
            [
                evidence("a", "v1", calls=500, errors=3),
                evidence("b", "v1", calls=500, errors=3),
                evidence("a", "v2", calls=200),
                evidence("b", "v2", calls=14, errors=6),
            ],
            "v2",
        )
        self.assertIn("route b", found)

    def test_slow_answers_are_a_fault(self):
        """Half of the answers eight times slower than before."""
        slow = [90.0, 720.0] * 8
        found = trial_judge.fault(
            [
                evidence("r", "v1", calls=200),
                evidence("r", "v2", calls=16, times_ms=slow),
            ],
            "v2",
        )
        self.assertIn("took over", found)

    def test_trouble_of_both_versions_is_no_fault(self):
        """A grey service fails the calls of both versions."""
        found = trial_judge.fault(
            [
                evidence("r", "v1", calls=400, errors=160),
                evidence("r", "v2", calls=40, errors=18),
            ],
            "v2",
        )
        self.assertIsNone(found)

    def test_a_sound_version_on_slower_machines_is_no_fault(self):
        """Targets of one service differ in speed by up to three."""
        found = trial_judge.fault(
            [
                evidence("r", "v1", calls=200),
                evidence("r", "v2", calls=100, times_ms=[260.0] * 100),
            ],
            "v2",
        )
        self.assertIsNone(found)

    def test_sound_versions_pass_a_hundred_looks(self):
        """Ordinary failures, at most 1%, condemn no version."""
        rng = random.Random(7)
        condemned = 0
        for _ in range(200):
            errors = 0
            for look in range(1, 60):
                errors += sum(rng.random() < 0.01 for _ in range(5))
                condemned += bool(
                    trial_judge.fault(
                        [
                            evidence("r", "v1", calls=100 * look, errors=look),
                            evidence("r", "v2", calls=5 * look, errors=errors),
                        ],
                        "v2",
                    )
                )
        self.assertEqual(condemned, 0)
